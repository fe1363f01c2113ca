//! Encoding and decoding of the configuration in messages.

use std::collections::BTreeMap;

use onyxshed_core::{ClassTarget, Millis, Revision};
use onyxshed_state::Config;

use crate::error::{Error, Result};
use crate::onyxshed_capnp::{class_target, config};
use crate::text::{check_length, parse};

/// Writes a configuration to a message.
pub fn write(config: &Config, mut builder: config::Builder<'_>) {
    builder.set_revision(config.revision.0);
    let count = u32::try_from(config.classes.len()).unwrap_or(u32::MAX);
    let mut classes = builder.init_classes(count);
    for (index, target) in (0..count).zip(config.classes.values()) {
        write_class(target, classes.reborrow().get(index));
    }
}

/// Reads a configuration from a message. Returns an error if any class is invalid.
pub fn read(reader: config::Reader<'_>) -> Result<Config> {
    let mut classes = BTreeMap::new();
    let list = reader.get_classes()?;
    check_length("classes", list.len())?;
    for entry in list {
        let target = read_class(entry)?;
        classes.insert(target.class.clone(), target);
    }
    Ok(Config {
        revision: Revision(reader.get_revision()),
        classes,
    })
}

fn write_class(target: &ClassTarget, mut builder: class_target::Builder<'_>) {
    builder.set_class(target.class.as_str());
    builder.set_upstream(target.upstream.as_str());
    builder.set_finish_within_ms(target.finish_within_ms.0);
    builder.set_may_run_twice(target.may_run_twice);
}

fn read_class(reader: class_target::Reader<'_>) -> Result<ClassTarget> {
    let target = ClassTarget {
        class: parse("class", reader.get_class())?,
        upstream: parse("upstream", reader.get_upstream())?,
        finish_within_ms: Millis(reader.get_finish_within_ms()),
        may_run_twice: reader.get_may_run_twice(),
    };
    target
        .check()
        .map_err(|error| Error::field("class", error))?;
    Ok(target)
}
