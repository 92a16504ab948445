//! The clock for ages, leases and deadlines, when the VM is suspended and when the two underlying
//! clocks are read at different moments.

use std::{cell::Cell, rc::Rc, time::Duration};

use scaleford::{clock::Clock, units::Instant};

const SECOND: Duration = Duration::from_secs(1);

fn clock() -> (Rc<Clock>, Rc<Cell<Duration>>) {
    let suspended = Rc::new(Cell::new(5 * SECOND));
    let read = Rc::clone(&suspended);
    let clock = Clock::new(Box::new(move || read.get()));
    (Rc::new(clock), suspended)
}

#[tokio::test(start_paused = true)]
async fn the_clock_counts_suspensions_since_its_creation_and_never_goes_back() {
    let (clock, suspended) = clock();
    assert_eq!(
        clock.now(),
        Instant::default(),
        "earlier ones are not its own"
    );
    tokio::time::advance(SECOND).await;
    suspended.set(8 * SECOND);
    assert_eq!(clock.now(), Instant(4 * SECOND));
    // The two underlying clocks are read one after the other, with a pause in between, so the
    // computed suspended time can decrease.
    suspended.set(7 * SECOND);
    assert_eq!(clock.now(), Instant(4 * SECOND));
    suspended.set(9 * SECOND);
    assert_eq!(clock.now(), Instant(5 * SECOND));
}

#[tokio::test(start_paused = true)]
async fn a_suspension_wakes_only_sleepers_whose_time_is_over() {
    let (clock, suspended) = clock();
    let at = clock.now() + 10 * SECOND;
    let soon = clock.timeout_at(at, std::future::pending::<()>());
    let later = clock.timeout_at(at + SECOND, std::future::pending::<()>());
    let suspending = async {
        tokio::time::sleep(SECOND).await;
        suspended.set(14 * SECOND);
        assert_eq!(clock.on_tick(), Some(9 * SECOND));
        assert_eq!(clock.on_tick(), None);
        tokio::task::yield_now().await;
        clock.now()
    };
    let start = tokio::time::Instant::now();
    let slept = async {
        assert!(soon.await.is_none());
        start.elapsed()
    };
    let slept_longer = async {
        assert!(later.await.is_none());
        start.elapsed()
    };
    let (first, second, now) = tokio::join!(slept, slept_longer, suspending);
    assert_eq!(now, Instant(10 * SECOND));
    assert_eq!((first.as_secs(), second.as_secs()), (1, 2));
}

#[tokio::test(start_paused = true)]
async fn a_future_that_is_ready_in_time_returns_its_output() {
    let (clock, _) = clock();
    let done = clock.timeout_at(clock.now(), async { 7 }).await;
    assert_eq!(done, Some(7), "also at the last moment");
}
