//! Sorts the services of a process into the order in which they start. They are drained and stopped
//! in the reverse order.

use std::collections::BTreeSet;

use crate::error::{Error, Result};
use crate::service::{Service, ServiceName};

/// Sorts services so that each follows its dependencies; independent services keep their order.
///
/// Returns an error if two services share a name, a dependency is missing or dependencies form a
/// cycle.
pub fn start_order(services: Vec<Box<dyn Service>>) -> Result<Vec<Box<dyn Service>>> {
    check_names(&services)?;
    let mut remaining = services;
    let mut ordered: Vec<Box<dyn Service>> = Vec::new();
    let mut placed = BTreeSet::new();
    while !remaining.is_empty() {
        let mut candidates = remaining.iter();
        let next = candidates.position(|service| has_all_dependencies(service.as_ref(), &placed));
        let Some(index) = next else {
            return Err(cycle(&remaining));
        };
        let service = remaining.remove(index);
        placed.insert(service.name());
        ordered.push(service);
    }
    Ok(ordered)
}

fn has_all_dependencies(service: &dyn Service, placed: &BTreeSet<ServiceName>) -> bool {
    service
        .dependencies()
        .iter()
        .all(|dependency| placed.contains(dependency))
}

fn check_names(services: &[Box<dyn Service>]) -> Result<()> {
    let mut names = BTreeSet::new();
    for service in services {
        let name = service.name();
        if !names.insert(name) {
            return Err(Error::Duplicate { name });
        }
    }
    for service in services {
        if let Some(name) = service
            .dependencies()
            .iter()
            .find(|dependency| !names.contains(dependency))
        {
            return Err(Error::DependencyMissing {
                name: *name,
                needed_by: service.name(),
            });
        }
    }
    Ok(())
}

fn cycle(remaining: &[Box<dyn Service>]) -> Error {
    let names: Vec<&str> = remaining
        .iter()
        .map(|service| service.name().as_str())
        .collect();
    Error::Cycle {
        names: names.join(", ").into(),
    }
}
