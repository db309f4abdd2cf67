//! The learning automaton: its probability vector and its running averages.

use reelfall_balancer::Automaton;

fn automaton_of(servers: usize) -> Automaton {
    let mut automaton = Automaton::default();
    for _ in 0..servers {
        automaton.insert(1.0, 0.1);
    }
    automaton
}

/// Asserts that the probabilities sum to 1 and respect the floor.
fn assert_sound(automaton: &Automaton) {
    let sum: f64 = automaton.probability.iter().sum();
    assert!((sum - 1.0).abs() < 1e-9, "sum {sum}");
    assert!(
        automaton
            .probability
            .iter()
            .all(|probability| *probability >= automaton.floor() - 1e-12),
        "a probability is below the floor"
    );
    assert!(automaton.floor() * (automaton.probability.len() as f64) < 1.0);
}

#[test]
fn initial_probabilities_are_equal() {
    for servers in [1, 2, 10, 500] {
        let automaton = automaton_of(servers);
        assert_sound(&automaton);
        assert!(automaton
            .probability
            .iter()
            .all(|probability| (probability - 1.0 / servers as f64).abs() < 1e-9));
    }
}

#[test]
fn reward_moves_probabilities_towards_the_maximum_and_the_floor() {
    let mut automaton = automaton_of(10);
    let before = automaton.probability.clone();
    automaton.reward(3);
    let (floor, servers) = (automaton.floor(), 10.0);
    let maximum = 1.0 - (servers - 1.0) * floor;
    let step = (automaton.probability[0] - before[0]) / (floor - before[0]);
    assert!(step > 0.0 && step < 0.2);
    for (position, (new, old)) in automaton.probability.iter().zip(&before).enumerate() {
        let target = if position == 3 { maximum } else { floor };
        assert!((new - (old + step * (target - old))).abs() < 1e-12);
    }
    assert_sound(&automaton);
}

#[test]
fn observation_changes_only_the_average_of_its_server() {
    let mut automaton = automaton_of(5);
    let before = automaton.clone();
    automaton.observe(2, 1.0);
    assert_eq!(automaton.probability, before.probability);
    for position in 0..5 {
        assert_eq!(
            automaton.mean_response[position] == before.mean_response[position],
            position != 2
        );
    }
}

#[test]
fn many_rewards_of_one_server_leave_the_floor_of_the_others() {
    let mut automaton = automaton_of(200);
    for _ in 0..20_000 {
        automaton.reward(7);
    }
    assert_sound(&automaton);
    assert!(
        automaton.probability[7] > 0.85,
        "the other servers have {}",
        1.0 - automaton.probability[7]
    );
}

#[test]
fn insertions_and_removals_keep_sum_floor_and_ranking() {
    let mut automaton = automaton_of(4);
    for _ in 0..30 {
        automaton.reward(1);
    }
    automaton.insert(1.0, 0.1);
    assert_sound(&automaton);
    assert!(
        automaton.probability[1] > automaton.probability[0]
            && automaton.probability[1] > automaton.probability[4]
    );
    automaton.swap_remove(0);
    assert_sound(&automaton);
    assert_eq!(automaton.probability.len(), 4);
    for _ in 0..3 {
        automaton.swap_remove(0);
    }
    assert!((automaton.probability[0] - 1.0).abs() < 1e-12);
    automaton.swap_remove(0);
    assert!(automaton.probability.is_empty());
}

#[test]
fn step_grows_with_the_length_of_long_lists() {
    for (servers, relative_step) in [(10, 0.1), (24, 0.1), (76, 0.3)] {
        let mut automaton = automaton_of(servers);
        let before = automaton.probability.clone();
        automaton.reward(0);
        let step = (automaton.probability[1] - before[1]) / (automaton.floor() - before[1]);
        assert!(
            (step * servers as f64 - relative_step).abs() < 1e-6,
            "{servers}: {step}"
        );
    }
}
