//! Rules that every change must satisfy. The operator's command and every fold apply the same
//! rules.

use std::collections::BTreeMap;

use onyxshed_core::{ClassName, ClassTarget};
use onyxshed_wire::record::ChangeBody;

use super::Config;
use crate::error::{Error, Result};

/// Maximum number of classes in a configuration.
pub const CLASSES_MAX: usize = 10_000;

/// Checks that a new target is valid and within [`CLASSES_MAX`], or that the class to remove exists
/// in `config`.
pub(super) fn check(config: &Config, body: &ChangeBody) -> Result<()> {
    match body {
        ChangeBody::Put(target) => {
            target.check().map_err(Error::invalid)?;
            let is_new = !config.classes.contains_key(&target.class);
            if is_new && config.classes.len() >= CLASSES_MAX {
                return Err(Error::invalid(format_args!(
                    "at most {CLASSES_MAX} classes are allowed"
                )));
            }
            Ok(())
        }
        ChangeBody::Remove(class) if config.classes.contains_key(class) => Ok(()),
        ChangeBody::Remove(class) => Err(Error::invalid(format_args!("there is no class {class}"))),
    }
}

/// Inserts, replaces or removes the target of a class; `body` must have passed [`check`].
pub(super) fn apply(classes: &mut BTreeMap<ClassName, ClassTarget>, body: ChangeBody) {
    match body {
        ChangeBody::Put(target) => {
            classes.insert(target.class.clone(), target);
        }
        ChangeBody::Remove(class) => {
            classes.remove(&class);
        }
    }
}
