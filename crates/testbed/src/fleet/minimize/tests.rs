//! Minimal failing schedules.

use super::*;

#[tokio::test]
async fn only_what_breaks_is_left() {
    let steps: Vec<u32> = (0..100).collect();
    let needs = |of: &'static [u32]| {
        move |s: Vec<u32>| std::future::ready(of.iter().all(|n| s.contains(n)))
    };
    assert_eq!(minimize(&steps, 1000, needs(&[17])).await.steps, [17]);
    let minimized = minimize(&steps, 1000, needs(&[3, 50, 97])).await;
    let (left, tried) = (minimized.steps, minimized.trials);
    assert_eq!(left, [3, 50, 97]);
    assert!(tried < 200, "{tried} trials");
    // Within few trials it is as short as it could be made, and breaks still.
    let minimized = minimize(&steps, 5, needs(&[3, 50, 97])).await;
    let (left, tried) = (minimized.steps, minimized.trials);
    assert!(tried == 5 && left.len() <= 100 && [3, 50, 97].iter().all(|n| left.contains(n)));
    // What never breaks stays whole; order is kept.
    assert_eq!(
        minimize(&steps, 1000, |_| std::future::ready(false))
            .await
            .steps,
        steps
    );
}
