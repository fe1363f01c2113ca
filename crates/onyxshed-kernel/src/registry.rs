//! Services' handles by name.

use std::any::{Any, type_name};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::error::{Error, Result};
use crate::service::ServiceName;

/// What a service is called and what it is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptor {
    /// The name others find it by.
    pub name: ServiceName,
    /// What it does, in a short phrase.
    pub summary: &'static str,
}

struct Entry {
    descriptor: Descriptor,
    type_name: &'static str,
    handle: Rc<dyn Any>,
}

/// Typed look-up of services by name.
#[derive(Default)]
pub struct Registry {
    entries: RefCell<BTreeMap<ServiceName, Entry>>,
}

impl Registry {
    /// Registers a service's handle; an error if the name is taken.
    pub fn register<T: 'static>(&self, descriptor: Descriptor, handle: Rc<T>) -> Result<()> {
        let mut entries = self.entries.borrow_mut();
        let name = descriptor.name;
        if entries.contains_key(&name) {
            return Err(Error::Duplicate { name });
        }
        let type_name = type_name::<T>();
        let entry = Entry {
            descriptor,
            type_name,
            handle,
        };
        entries.insert(name, entry);
        Ok(())
    }

    /// Finds a service's handle; an error if it is missing or of another type.
    pub fn find<T: 'static>(&self, name: ServiceName) -> Result<Rc<T>> {
        let entries = self.entries.borrow();
        let entry = entries.get(&name).ok_or(Error::Missing { name })?;
        let other_type = |_| Error::OtherType {
            name,
            found: entry.type_name,
            wanted: type_name::<T>(),
        };
        entry.handle.clone().downcast().map_err(other_type)
    }

    /// Gets every registered service, in order of name.
    pub fn descriptors(&self) -> Vec<Descriptor> {
        let entries = self.entries.borrow();
        entries.values().map(|entry| entry.descriptor).collect()
    }
}
