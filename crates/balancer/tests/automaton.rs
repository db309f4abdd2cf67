//! The mechanism itself.

use reelfall_balancer::Automaton;

fn of(n: usize) -> Automaton {
    let mut a = Automaton::default();
    for _ in 0..n {
        a.insert(1.0, 0.1);
    }
    a
}

fn assert_sound(a: &Automaton) {
    let sum: f64 = a.probability.iter().sum();
    assert!((sum - 1.0).abs() < 1e-9, "sum {sum}");
    assert!(
        a.probability.iter().all(|p| *p >= a.floor() - 1e-12),
        "an entry is under the floor"
    );
    assert!(a.floor() * (a.probability.len() as f64) < 1.0);
}

#[test]
fn entries_start_even() {
    for n in [1, 2, 10, 500] {
        let a = of(n);
        assert_sound(&a);
        assert!(a
            .probability
            .iter()
            .all(|p| (p - 1.0 / n as f64).abs() < 1e-9));
    }
}

#[test]
fn a_payoff_moves_every_entry_by_the_stated_amount() {
    let mut a = of(10);
    let before = a.probability.clone();
    a.reward(3);
    let (p_min, r) = (a.floor(), 10.0);
    let p_max = 1.0 - (r - 1.0) * p_min;
    let theta = (a.probability[0] - before[0]) / (p_min - before[0]);
    assert!(theta > 0.0 && theta < 0.2);
    for (i, (new, old)) in a.probability.iter().zip(&before).enumerate() {
        let goal = if i == 3 { p_max } else { p_min };
        assert!((new - (old + theta * (goal - old))).abs() < 1e-12);
    }
    assert_sound(&a);
}

#[test]
fn an_observation_moves_only_the_chosen_average_and_no_entry() {
    let mut a = of(5);
    let before = a.clone();
    a.observe(2, 1.0);
    assert_eq!(a.probability, before.probability);
    for i in 0..5 {
        assert_eq!(a.mean_response[i] == before.mean_response[i], i != 2);
    }
}

#[test]
fn payoffs_without_end_leave_the_floor() {
    let mut a = of(200);
    for _ in 0..20_000 {
        a.reward(7);
    }
    assert_sound(&a);
    assert!(
        a.probability[7] > 0.85,
        "the floor eats {}",
        1.0 - a.probability[7]
    );
}

#[test]
fn joins_and_leaves_keep_sum_floor_and_order_of_entries() {
    let mut a = of(4);
    for _ in 0..30 {
        a.reward(1);
    }
    a.insert(1.0, 0.1);
    assert_sound(&a);
    assert!(a.probability[1] > a.probability[0] && a.probability[1] > a.probability[4]);
    a.swap_remove(0);
    assert_sound(&a);
    assert_eq!(a.probability.len(), 4);
    for _ in 0..3 {
        a.swap_remove(0);
    }
    assert!((a.probability[0] - 1.0).abs() < 1e-12);
    a.swap_remove(0);
    assert!(a.probability.is_empty());
}

#[test]
fn a_long_list_keeps_the_larger_step() {
    for (n, step) in [(10, 0.1), (24, 0.1), (76, 0.3)] {
        let mut a = of(n);
        let before = a.probability.clone();
        a.reward(0);
        let theta = (a.probability[1] - before[1]) / (a.floor() - before[1]);
        assert!((theta * n as f64 - step).abs() < 1e-6, "{n}: {theta}");
    }
}
