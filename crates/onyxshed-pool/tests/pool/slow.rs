//! Bursts on a pool of which a third of the executors turns slow.

use onyxshed_core::Millis;
use onyxshed_pool::PolicySwitches;

use crate::play::{Load, Served, SlowSpell, served_in};

/// One executor in three takes eight times as long for eight seconds.
const SPELL: SlowSpell = SlowSpell {
    one_in: 3,
    factor: 8.0,
    from: Millis(2_000),
    lasts: Millis(8_000),
};

const SEEDS: u64 = 6;

/// What callers got whose jobs came while the executors were slow, at twice what the pool could do then.
fn served_under(policy: PolicySwitches) -> [Served; 3] {
    let load = Load {
        slow: Some(SPELL),
        policy,
        ..Load::of_hosts(50)
    };
    served_in(&load, SEEDS, SPELL.from, Millis(10_000))
}

fn total(classes: &[Served; 3]) -> Served {
    let mut sum = Served::default();
    for class in classes {
        sum.add(class);
    }
    sum
}

fn worst_share(classes: &[Served; 3]) -> f64 {
    classes.iter().map(Served::share).fold(1.0, f64::min)
}

fn mean_share(classes: &[Served; 3]) -> f64 {
    classes.iter().map(Served::share).sum::<f64>() / 3.0
}

/// A third of the executors turns slow while more comes than the rest can do. Without the plan, tasks
/// went to whoever had room, which were the slow ones, and jobs were taken that could not be in time:
/// the mean share served was 0.49 and the worst class's 0.28, one job in seven came too late or was
/// given up, and callers of one in fifteen were refused after half of their target.
#[test]
fn slow_executors_under_load_are_planned_round() {
    let classes = served_under(PolicySwitches::default());
    let all = total(&classes);
    assert!(worst_share(&classes) > 0.30);
    assert!(mean_share(&classes) > 0.49);
    assert!(all.late + all.too_late + all.lost < all.asked / 6);
    assert!(all.refused_late < all.refused / 8);
}

/// Three classes ask for twice what the pool can do, and the jobs of one are nine times the work of the
/// others'. Where least work goes first whatever its class, the callers of that one are refused nearly
/// all; with equal parts of the pool it is served for two fifths and more.
#[test]
fn a_class_of_large_jobs_gets_its_part() {
    let by_work = served_under(PolicySwitches {
        shares_by_class: false,
        ..PolicySwitches::default()
    });
    let by_class = served_under(PolicySwitches::default());
    let [_, large_by_work, _] = by_work;
    let [_, large, _] = by_class;
    assert!(large.share() > 0.4);
    assert!(large.share() > large_by_work.share() + 0.1);
}

/// Jobs that the plan has late are refused at once while others can be in time. Without that their
/// callers wait for most of their target to hear the same.
#[test]
fn callers_hear_at_once_what_can_not_be_served() {
    let kept = total(&served_under(PolicySwitches {
        refuses_by_plan: false,
        ..PolicySwitches::default()
    }));
    let refused = total(&served_under(PolicySwitches::default()));
    assert!(refused.refused_late * 4 < kept.refused_late);
    assert!(refused.in_time >= kept.in_time * 95 / 100);
}
