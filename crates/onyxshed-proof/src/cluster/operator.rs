//! What operators do: publish targets on the platform's log.

use http_types::Method;
use onyxshed_core::{ChangeId, ClassTarget, Offset, Revision};
use onyxshed_state::ConfigFold;
use onyxshed_wire::platform::{Appended, CONFIG_STREAM, Page, records_path};
use onyxshed_wire::record::{ChangeBody, ConfigChange, ConfigRecord};
use ulid::Ulid;

use crate::error::{Error, Result};
use crate::remote::{call, get};

use super::Cluster;

impl Cluster {
    /// Appends a change, based on the revision given or else on the one in force by the log.
    pub async fn publish(&self, target: ClassTarget, based_on: Option<Revision>) -> Result<Offset> {
        let based_on = match based_on {
            Some(revision) => revision,
            None => self.log_config().await?.config().revision,
        };
        let change = ConfigRecord::ChangeV1(ConfigChange {
            change_id: ChangeId(Ulid::generate()),
            based_on,
            body: ChangeBody::Put(target),
        });
        let path = records_path(CONFIG_STREAM);
        let address = self.platform_address()?;
        let body = call(address, Method::Post, &path, change.encode().into_bytes()).await?;
        let appended = Appended::decode(&body).map_err(|error| Error::call("append", error))?;
        Ok(appended.offset)
    }

    /// Folds the log as an operator with the whole of it would.
    pub async fn log_config(&self) -> Result<ConfigFold> {
        let path = records_path(CONFIG_STREAM);
        let page: Page = get(self.platform_address()?, &path).await?;
        let mut fold = ConfigFold::default();
        for record in &page.records {
            fold.apply(record.offset, &record.data);
        }
        Ok(fold)
    }
}
