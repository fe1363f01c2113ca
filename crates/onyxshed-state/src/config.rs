//! The configuration as a fold of the log.

use std::collections::BTreeMap;

use onyxshed_core::{ClassName, ClassTarget, Offset, Revision};
use onyxshed_wire::record::{ChangeBody, ConfigChange, ConfigRecord};

/// The configuration that is in force after some revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Config {
    /// How many changes were accepted to make it.
    pub revision: Revision,
    /// Every class's target.
    pub classes: BTreeMap<ClassName, ClassTarget>,
}

/// What one record did to the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FoldStep {
    /// It was accepted and this revision is in force.
    Accepted(Revision),
    /// It was based on another revision and lost.
    Raced {
        /// The revision it was based on.
        based_on: Revision,
        /// The revision in force when it came.
        found: Revision,
    },
    /// It broke the rules and was ignored.
    Ignored,
    /// It told nothing new.
    Nothing,
}

/// Folds records of the `config` stream, in order, into the configuration.
#[derive(Debug, Clone, Default)]
pub struct ConfigFold {
    config: Config,
    next: Offset,
}

impl ConfigFold {
    /// Gets the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Gets the offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Takes in the record at `offset`.
    pub fn apply(&mut self, offset: Offset, data: &str) -> FoldStep {
        if offset < self.next {
            return FoldStep::Nothing;
        }
        self.next = offset.next();
        match ConfigRecord::decode(data) {
            Ok(ConfigRecord::ChangeV1(change)) => self.apply_change(change),
            Ok(ConfigRecord::SnapshotV1(_)) => FoldStep::Nothing,
            Err(_) => FoldStep::Ignored,
        }
    }

    fn apply_change(&mut self, change: ConfigChange) -> FoldStep {
        let found = self.config.revision;
        if change.based_on != found {
            return FoldStep::Raced {
                based_on: change.based_on,
                found,
            };
        }
        match change.body {
            ChangeBody::Put(target) if target.check().is_err() => return FoldStep::Ignored,
            ChangeBody::Put(target) => {
                self.config.classes.insert(target.class.clone(), target);
            }
            ChangeBody::Remove(class) => {
                self.config.classes.remove(&class);
            }
        }
        self.config.revision = found.next();
        FoldStep::Accepted(self.config.revision)
    }
}
