//! Settings of the command line `onyxshed`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};

use super::{CrossFault, Settings, SettingsKind, require};

/// The name and admin address of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessAddress {
    /// The name of the process in the time line.
    pub name: SmolStr,
    /// Address on which the process answers queries of its status and time line, and drains.
    pub admin_address: SocketAddr,
}

/// Settings of the command line; [`crate::tables::OPERATOR`] describes each field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address of the platform's service.
    pub platform_address: SocketAddr,
    /// All processes that the commands `status` and `timeline` query.
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
        let duplicate = names.windows(2).find(|pair| pair[0] == pair[1]);
        let fault = require(duplicate.is_none(), "processes", || {
            "processes with different names".to_smolstr()
        });
        fault.into_iter().collect()
    }
}
