//! The order of accepted changes.

use proptest::prelude::*;
use scaleford::{
    config::{Change, ChangeOutcome, ConfigLog, Edit, Model, Update},
    ids::{ChangeId, Revision},
};

proptest! {
    /// Changes arrive in any order and twice, from relays that lag or send false ones, or from a
    /// store that was reverted and then continued differently.
    #[test]
    fn a_configuration_never_reverts(steps in prop::collection::vec((0usize..24, any::<bool>()), 1..120)) {
        let (mut true_log, mut false_log) = (ConfigLog::default(), ConfigLog::default());
        let (mut changes, mut false_changes) = (Vec::new(), Vec::new());
        for n in 0..24 {
            let change = next_change(&true_log, &format!("chg-{n}"));
            true_log.on_change(change.clone());
            changes.push(change);
            let false_change = next_change(&false_log, &format!("lie-{n}"));
            false_log.on_change(false_change.clone());
            false_changes.push(false_change);
        }
        let mut log = ConfigLog::default();
        log.on_change(changes[0].clone());
        for (n, is_false) in steps {
            let before = (log.revision(), log.digest());
            let received = if is_false { false_changes[n].clone() } else { changes[n].clone() };
            let outcome = log.on_change(received);
            prop_assert!(log.revision() >= before.0);
            prop_assert!(outcome == ChangeOutcome::Applied || (log.revision(), log.digest()) == before);
            prop_assert!(!is_false || outcome != ChangeOutcome::Applied);
        }
        match true_log.update_since(log.revision(), log.digest()) {
            Update::Changes(missing) => missing.iter().for_each(|c| { log.on_change((**c).clone()); }),
            Update::Current => {}
            Update::Snapshot(_) => prop_assert!(false, "the ring holds all"),
        }
        prop_assert_eq!(log.digest(), true_log.digest());
    }
}

fn next_change(log: &ConfigLog, id: &str) -> Change {
    let id: ChangeId = id.parse().unwrap();
    Change {
        revision: Revision(log.revision().0 + 1),
        author: "night-watch".to_owned(),
        reason: "test".to_owned(),
        previous: log.digest(),
        edits: vec![Edit::PutModel {
            id: id.as_str().parse().unwrap(),
            model: Model::default(),
        }],
        id,
    }
}
