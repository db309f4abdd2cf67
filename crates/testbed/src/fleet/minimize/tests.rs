//! Minimization of schedules.

use super::*;

#[tokio::test]
async fn only_steps_that_cause_the_failure_remain() {
    let steps: Vec<u32> = (0..100).collect();
    let fails_with = |causes: &'static [u32]| {
        move |s: Vec<u32>| std::future::ready(causes.iter().all(|n| s.contains(n)))
    };
    assert_eq!(minimize(&steps, 1000, fails_with(&[17])).await.steps, [17]);
    let minimized = minimize(&steps, 1000, fails_with(&[3, 50, 97])).await;
    let (remaining, trials) = (minimized.steps, minimized.trials);
    assert_eq!(remaining, [3, 50, 97]);
    assert!(trials < 200, "{trials} trials");
    // With few trials the result may be longer, but it still fails.
    let minimized = minimize(&steps, 5, fails_with(&[3, 50, 97])).await;
    let (remaining, trials) = (minimized.steps, minimized.trials);
    assert!(
        trials == 5 && remaining.len() <= 100 && [3, 50, 97].iter().all(|n| remaining.contains(n))
    );
    // A schedule that never fails stays as it is.
    assert_eq!(
        minimize(&steps, 1000, |_| std::future::ready(false))
            .await
            .steps,
        steps
    );
}
