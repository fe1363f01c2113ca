//! The registry in which the services of a process find each other's handles by name.

use std::any::{Any, type_name};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::error::{Error, Result};
use crate::service::ServiceName;

/// The name and purpose of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Descriptor {
    /// The name under which the service is registered.
    pub name: ServiceName,
    /// What the service does, in a short phrase.
    pub summary: &'static str,
}

struct Entry {
    descriptor: Descriptor,
    type_name: &'static str,
    handle: Rc<dyn Any>,
}

/// Service handles by name, each with its type.
#[derive(Default)]
pub struct Registry {
    entries: RefCell<BTreeMap<ServiceName, Entry>>,
}

impl Registry {
    /// Registers a service's handle. Returns an error if the name is already registered.
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

    /// Returns a service's handle. Returns an error if the service is not registered or its handle
    /// has another type.
    pub fn find<T: 'static>(&self, name: ServiceName) -> Result<Rc<T>> {
        let entries = self.entries.borrow();
        let entry = entries.get(&name).ok_or(Error::NotRegistered { name })?;
        let wrong_type = |_| Error::WrongType {
            name,
            found: entry.type_name,
            requested: type_name::<T>(),
        };
        entry.handle.clone().downcast().map_err(wrong_type)
    }

    /// Returns the descriptors of all registered services, sorted by name.
    pub fn descriptors(&self) -> Vec<Descriptor> {
        let entries = self.entries.borrow();
        entries.values().map(|entry| entry.descriptor).collect()
    }
}
