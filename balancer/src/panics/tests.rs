//! Futures that complete, and futures that panic after waiting.

use std::cell::Cell;

use super::*;

fn run<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(future)
}

#[test]
fn completed_future_returns_its_output() {
    assert_eq!(run(catch_panic(async { 7 })).expect("no panic"), 7);
}

#[test]
fn panic_after_a_wait_is_an_error_and_drops_the_future() {
    struct SetOnDrop<'a>(&'a Cell<bool>);
    impl Drop for SetOnDrop<'_> {
        fn drop(&mut self) {
            self.0.set(true);
        }
    }
    let dropped = Cell::new(false);
    let error = run(catch_panic(async {
        let _held = SetOnDrop(&dropped);
        tokio::task::yield_now().await;
        panic!("on purpose");
    }));
    assert_eq!(
        error.map_err(|panicked| panicked.to_string()),
        Err::<(), _>("panicked: on purpose".to_owned())
    );
    assert!(dropped.get());
}
