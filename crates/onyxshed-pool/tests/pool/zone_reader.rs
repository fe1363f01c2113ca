//! Owners that rely on the reader of their zone.

use onyxshed_core::Millis;
use onyxshed_pool::{FencingToken, ZoneAnswer, ZoneList, ZoneView};

use crate::fixture::at_ms;

/// Interval at which the reader reads the store, and the others ask it.
const READ_PERIOD_MS: u64 = 300;

fn list_read_at(ms: u64, token: u64) -> ZoneList {
    ZoneList::new(at_ms(ms), "a".into(), FencingToken(token))
}

fn answer(list: &ZoneList, view: &ZoneView, ms: u64) -> ZoneAnswer {
    list.answer(at_ms(ms), view.version())
}

/// Guards against owners that read every renewal although their reader answers.
#[test]
fn store_is_not_read_while_the_reader_answers() {
    let mut list = list_read_at(0, 1);
    let mut view = ZoneView::default();
    assert!(view.is_store_read_due(at_ms(0)), "nothing is known yet");
    for now in (0..30_000).step_by(300) {
        list.record_read(at_ms(now));
        assert!(view.accept(at_ms(now + 200), &answer(&list, &view, now + 200)));
        assert!(!view.is_store_read_due(at_ms(now + READ_PERIOD_MS)));
    }
}

/// Guards against owners that start tasks on draining executors because their reader has died, stands still or
/// has lost the store.
#[test]
fn store_is_read_within_a_second_of_the_last_read() {
    let list = list_read_at(0, 1);
    let mut view = ZoneView::default();
    for now in (0..1_000).step_by(250) {
        assert!(view.accept(at_ms(now), &answer(&list, &view, now)));
    }
    assert!(!view.is_store_read_due(at_ms(999)));
    assert!(view.is_store_read_due(at_ms(1_000)));
    let old = answer(&list, &view, 1_000);
    assert_eq!(old.age, Millis(1_000));
    assert!(
        !view.accept(at_ms(1_000), &old),
        "the reader has lost the store"
    );
    view.record_store_read(at_ms(1_010));
    assert!(!view.is_store_read_due(at_ms(1_310)));
}

/// Guards against versions of one reader that are taken for those of the next one.
#[test]
fn next_reader_sends_the_complete_list() {
    let mut view = ZoneView::default();
    let first = list_read_at(0, 1);
    view.accept(at_ms(0), &answer(&first, &view, 0));
    let next = list_read_at(100, 2);
    let changes = answer(&next, &view, 100).changes;
    assert!(changes.is_complete);
}

/// Guards against tasks on a draining executor: an answer of the reader replaces entries that this owner has read
/// from the store since.
#[test]
fn answer_that_is_older_than_a_read_of_the_store_is_ignored() {
    let list = list_read_at(0, 1);
    let mut view = ZoneView::default();
    view.record_store_read(at_ms(400));
    assert!(!view.accept(at_ms(600), &answer(&list, &view, 600)));
    let newer = list_read_at(450, 1);
    assert!(view.accept(at_ms(600), &answer(&newer, &view, 600)));
}
