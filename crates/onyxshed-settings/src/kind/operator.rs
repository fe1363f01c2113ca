//! Settings of the command line.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use super::{CrossFault, Settings, SettingsKind, expect};

/// A process and where it serves operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessAddress {
    /// What the time line calls it.
    pub name: SmolStr,
    /// Its admin address.
    pub admin_address: SocketAddr,
}

/// Settings of the command line; [`crate::tables::OPERATOR`] explains each field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The platform's service.
    pub platform_address: SocketAddr,
    /// Every process to ask.
    pub processes: Vec<ProcessAddress>,
}

impl Settings for OperatorSettings {
    const KIND: SettingsKind = SettingsKind::Operator;

    fn cross_check(&self) -> Vec<CrossFault> {
        let mut names: Vec<&str> = Vec::new();
        for process in &self.processes {
            names.push(&process.name);
        }
        names.sort_unstable();
        let twice = names.windows(2).find(|pair| pair[0] == pair[1]);
        let fault = expect(twice.is_none(), "processes", || {
            "processes with different names".to_smolstr()
        });
        fault.into_iter().collect()
    }
}
