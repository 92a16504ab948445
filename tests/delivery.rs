//! Progress of answers on a connection, with figures of the operating system that can't be trusted.

use rstest::rstest;
use scaleford::delivery::{Delivery, DeliveryState};

/// Returns a connection whose answer of 100 bytes is written.
fn written(unacked_at_start: Option<u64>) -> Delivery {
    let mut delivery = Delivery::new(unacked_at_start);
    delivery.on_request();
    delivery.on_written(60);
    delivery.on_flushed();
    assert_eq!(delivery.state(Some(0)), DeliveryState::Pending);
    delivery.on_answer_end();
    assert_eq!(delivery.state(None), DeliveryState::Pending);
    delivery.on_written(40);
    delivery.on_flushed();
    delivery
}

/// Guards against answers that count as delivered before the caller's system has all of them, and against
/// stops that wait for a figure that is wrong.
#[rstest]
#[case::acknowledged(Some(0), Some(0), DeliveryState::Delivered)]
#[case::partly_acknowledged(Some(0), Some(40), DeliveryState::Pending)]
#[case::only_the_end_is_not_acknowledged(Some(0), Some(1), DeliveryState::Pending)]
#[case::more_than_was_written(Some(0), Some(102), DeliveryState::Unknown)]
#[case::no_figure(Some(0), None, DeliveryState::Unknown)]
#[case::never_a_figure(None, None, DeliveryState::Delivered)]
#[case::a_figure_before_anything_was_written(Some(7), Some(7), DeliveryState::Delivered)]
fn an_answer_is_pending_until_it_is_acknowledged(
    #[case] at_start: Option<u64>,
    #[case] unacked: Option<u64>,
    #[case] state: DeliveryState,
) {
    assert_eq!(written(at_start).state(unacked), state);
}

#[test]
fn a_wrong_figure_is_reported_once_and_not_used_again() {
    let mut delivery = written(Some(0));
    assert_eq!(delivery.state(Some(1 << 40)), DeliveryState::Unknown);
    assert_eq!(delivery.state(Some(40)), DeliveryState::Delivered);
    delivery.on_request();
    assert_eq!(delivery.state(None), DeliveryState::Pending);
    delivery.on_closed();
    assert_eq!(delivery.state(None), DeliveryState::Delivered);
}
