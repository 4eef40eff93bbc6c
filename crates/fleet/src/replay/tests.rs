use super::*;

#[test]
fn a_sequence_number_is_accepted_once_and_one_below_the_window_never() {
    let mut window = ReplayWindow::default();
    assert!([1, 2, 5, 3, 70, 69, 7].into_iter().all(|n| window.accept(n)), "a new number is rejected");
    assert!(
        [1, 2, 5, 3, 70, 69, 7, 6, 0].into_iter().all(|n| !window.accept(n)),
        "a repeated number or one below the window is accepted"
    );
    assert!(window.accept(8) && window.accept(1000) && !window.accept(71), "the window did not advance");
}
