//! The order in which services start.

use std::collections::BTreeSet;

use crate::error::{Error, Result};
use crate::service::{Service, ServiceName};

/// Sorts services so that each comes after what it needs; otherwise the given order stays.
pub fn start_order(services: Vec<Box<dyn Service>>) -> Result<Vec<Box<dyn Service>>> {
    check_names(&services)?;
    let mut waiting = services;
    let mut ordered: Vec<Box<dyn Service>> = Vec::new();
    let mut placed = BTreeSet::new();
    while !waiting.is_empty() {
        let mut candidates = waiting.iter();
        let next = candidates.position(|service| has_all_needs(service.as_ref(), &placed));
        let Some(index) = next else {
            return Err(cycle(&waiting));
        };
        let service = waiting.remove(index);
        placed.insert(service.name());
        ordered.push(service);
    }
    Ok(ordered)
}

fn has_all_needs(service: &dyn Service, placed: &BTreeSet<ServiceName>) -> bool {
    service
        .dependencies()
        .iter()
        .all(|need| placed.contains(need))
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
            .find(|need| !names.contains(need))
        {
            return Err(Error::NeedMissing {
                name: *name,
                needed_by: service.name(),
            });
        }
    }
    Ok(())
}

fn cycle(waiting: &[Box<dyn Service>]) -> Error {
    let names: Vec<&str> = waiting
        .iter()
        .map(|service| service.name().as_str())
        .collect();
    Error::Cycle {
        names: names.join(", ").into(),
    }
}
