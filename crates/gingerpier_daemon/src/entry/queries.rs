//! Results of operators' queries.

use {
    super::{
        Entry,
        fleet::{Engine, Workload},
    },
    crate::table::Table,
    gingerpier_base::{Digest, Name, Stamp},
    gingerpier_catalogue::{Catalogue, VersionKey, model::Model},
    gingerpier_language::statement::{Filter, Query, Subject},
    gingerpier_wire::frame::Phase,
    std::time::{Duration, UNIX_EPOCH},
};

/// Returns true if a filter isn't set or equals the value.
fn matches_filter(is_selected: Option<&Name>, found: &Name) -> bool {
    is_selected.is_none_or(|is_selected| is_selected == found)
}

fn format_or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn format_time(stamp: Stamp) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(stamp.as_unix_millis());
    humantime::format_rfc3339_millis(time).to_string()
}

impl Entry {
    /// Runs a query.
    ///
    /// # Errors
    ///
    /// Returns the reason if the key-value service can't be read.
    pub async fn run_query(&self, query: &Query) -> Result<Table, String> {
        let catalogue = self.process.catalogue_state.catalogue();
        let filter = &query.filter;
        Ok(match query.subject {
            Subject::Models => models(&catalogue, filter),
            Subject::Versions => versions(&catalogue, filter),
            Subject::Accounts => accounts(&catalogue),
            Subject::Contracts => contracts(&catalogue, filter),
            Subject::Rollouts => self.rollouts(&catalogue, filter),
            Subject::Boxes => self.boxes(filter),
            Subject::Revisions => self.revisions(filter),
            Subject::Audit => return self.audit(filter.last.unwrap_or(1)).await,
            Subject::Engines
            | Subject::Loaded
            | Subject::Loading
            | Subject::Live
            | Subject::Draining => self.engines(&catalogue, query),
        })
    }

    fn engines(&self, catalogue: &Catalogue, query: &Query) -> Table {
        let mut table = Table::new(&[
            "engine",
            "box",
            "zone",
            "kind",
            "phase",
            "holds",
            "assigned",
            "chunks",
            "origin_bytes",
            "peer_bytes",
            "load",
            "trouble",
        ]);
        let fleet = self.fleet.borrow();
        for (_, engine) in fleet.engines() {
            let row = EngineRow::of(catalogue, engine);
            if row.matches(catalogue, query) {
                table.push(row.cells(catalogue));
            }
        }
        table.rows.sort();
        table
    }

    fn rollouts(&self, catalogue: &Catalogue, filter: &Filter) -> Table {
        let mut table = Table::new(&[
            "model",
            "to",
            "steps",
            "reached",
            "state",
            "ready",
            "replicas",
            "chunks_left",
            "slowest_box",
            "since_revision",
        ]);
        for (_, model) in catalogue
            .models()
            .filter(|(_, model)| matches_filter(filter.model.as_ref(), &model.name))
        {
            let Some(rollout) = &model.rollout else {
                continue;
            };
            let version = catalogue.version(rollout.to);
            let base = version.base.unwrap_or(rollout.to);
            let serving_count = self
                .fleet
                .borrow()
                .serving_count(&Workload::Weights(version.manifest));
            let replicas: u32 = model
                .contracts
                .iter()
                .map(|contract| contract.replicas)
                .sum();
            let slowest_server = self.slowest_server(catalogue, base);
            let steps: Vec<String> = rollout.steps.iter().map(u8::to_string).collect();
            table.push([
                model.name.to_string(),
                version.name.to_string(),
                steps.join(","),
                rollout.reached.to_string(),
                if rollout.paused { "held" } else { "running" }.to_owned(),
                serving_count.to_string(),
                replicas.to_string(),
                slowest_server
                    .as_ref()
                    .map_or(0, |(_, missing_chunks)| *missing_chunks)
                    .to_string(),
                format_or_dash(slowest_server.map(|(name, _)| name)),
                rollout.since.to_string(),
            ]);
        }
        table
    }

    /// Returns the backend server with the most missing chunks of a version, and their number.
    fn slowest_server(&self, catalogue: &Catalogue, version: VersionKey) -> Option<(Name, u32)> {
        let fleet = self.fleet.borrow();
        let assigned = fleet.engines().filter(|(_, engine)| {
            let assignment = catalogue.assignments().get(&engine.status.name);
            assignment.is_some_and(|assignment| assignment.version == version)
        });
        let missing_chunks = assigned.map(|(_, engine)| {
            let status = &engine.status;
            (
                engine.server_name.clone(),
                status.chunks_wanted - status.chunks_held,
            )
        });
        missing_chunks
            .filter(|(_, missing_chunks)| *missing_chunks > 0)
            .max_by_key(|(_, missing_chunks)| *missing_chunks)
    }

    fn boxes(&self, filter: &Filter) -> Table {
        let mut table = Table::new(&[
            "box",
            "role",
            "region",
            "zone",
            "standing",
            "address",
            "incarnation",
        ]);
        let own = &self.process.hello;
        let liveness = if self.process.is_leaving() {
            "leaving"
        } else {
            "alive"
        };
        table.push([
            own.name.to_string(),
            own.role.to_string(),
            own.zone.region.to_string(),
            own.zone.name.to_string(),
            liveness.to_owned(),
            own.address.clone(),
            own.incarnation.to_string(),
        ]);
        for (key, member) in self.members.borrow().iter() {
            table.push([
                member.name.to_string(),
                member.role.to_string(),
                member.zone.region.to_string(),
                member.zone.name.to_string(),
                self.liveness(key).as_str().to_owned(),
                member.address.clone(),
                format_or_dash(member.incarnation()),
            ]);
        }
        let is_selected = |row: &Vec<String>| {
            let cell =
                |name: Option<&Name>, cell: &String| name.is_none_or(|name| name.as_str() == cell);
            cell(filter.zone.as_ref(), &row[3]) && cell(filter.server.as_ref(), &row[0])
        };
        table.rows.retain(is_selected);
        table.rows.sort();
        table
    }

    fn revisions(&self, filter: &Filter) -> Table {
        let mut table = Table::new(&["box", "zone", "revision", "behind_by"]);
        let latest = self.process.catalogue_state.revision();
        let own = &self.process.hello;
        let own = (own.name.clone(), own.zone.name.clone(), latest);
        let members = self.members.borrow();
        let others = members.iter().map(|(key, member)| {
            (
                member.name.clone(),
                member.zone.name.clone(),
                self.links.revision(key),
            )
        });
        for (name, zone, revision) in std::iter::once(own).chain(others) {
            if matches_filter(filter.zone.as_ref(), &zone)
                && matches_filter(filter.server.as_ref(), &name)
            {
                let behind = latest.0.saturating_sub(revision.0);
                table.push([
                    name.to_string(),
                    zone.to_string(),
                    revision.to_string(),
                    behind.to_string(),
                ]);
            }
        }
        table.rows.sort();
        table
    }

    async fn audit(&self, last: u32) -> Result<Table, String> {
        let records = self
            .read_audit(last)
            .await
            .map_err(|error| error.to_string())?;
        let mut table = Table::new(&["revision", "time", "author", "identity", "change"]);
        for record in &records {
            for entry in &record.entries {
                table.push([
                    record.revision.to_string(),
                    format_time(entry.stamp),
                    entry.author.clone(),
                    entry.identity.to_string(),
                    entry.text.clone(),
                ]);
            }
        }
        Ok(table)
    }
}

fn models(catalogue: &Catalogue, filter: &Filter) -> Table {
    let mut table = Table::new(&["model", "kind", "base", "live", "previous", "rollout"]);
    for (_, model) in catalogue.models() {
        if !matches_filter(filter.model.as_ref(), &model.name) {
            continue;
        }
        let name = |key: VersionKey| catalogue.version(key).name.to_string();
        let live: Vec<String> = model.live.iter().map(|key| name(*key)).collect();
        table.push([
            model.name.to_string(),
            model.kind.to_string(),
            format_or_dash(model.base.map(|base| catalogue.model(base).name.clone())),
            if live.is_empty() {
                "-".to_owned()
            } else {
                live.join(",")
            },
            format_or_dash(model.previous.map(name)),
            format_or_dash(model.rollout.as_ref().map(|rollout| name(rollout.to))),
        ]);
    }
    table
}

fn versions(catalogue: &Catalogue, filter: &Filter) -> Table {
    let mut table = Table::new(&[
        "model", "version", "state", "bytes", "base", "source", "manifest",
    ]);
    for (key, version) in catalogue.versions() {
        let model = catalogue.model(version.model);
        let is_selected = matches_filter(filter.model.as_ref(), &model.name)
            && matches_filter(filter.version.as_ref(), &version.name);
        if is_selected {
            table.push([
                model.name.to_string(),
                version.name.to_string(),
                version_state(model, key).to_owned(),
                version.bytes.to_string(),
                format_or_dash(
                    version
                        .base
                        .map(|base| catalogue.version(base).name.clone()),
                ),
                version.source.clone(),
                version.manifest.to_string(),
            ]);
        }
    }
    table
}

fn version_state(model: &Model, key: VersionKey) -> &'static str {
    match &model.rollout {
        _ if model.live.contains(&key) => "live",
        Some(rollout) if rollout.to == key => "rolling_out",
        _ => "idle",
    }
}

fn accounts(catalogue: &Catalogue) -> Table {
    let mut table = Table::new(&["account", "rate", "priority"]);
    for account in catalogue.accounts() {
        let (rate, priority) = (account.rate.to_string(), account.priority.to_string());
        table.push([account.name.to_string(), rate, priority]);
    }
    table
}

fn contracts(catalogue: &Catalogue, filter: &Filter) -> Table {
    let mut table = Table::new(&["model", "zone", "replicas", "accounts"]);
    for (_, model) in catalogue.models() {
        for contract in &model.contracts {
            let is_selected = matches_filter(filter.model.as_ref(), &model.name)
                && matches_filter(filter.zone.as_ref(), &contract.zone);
            if is_selected {
                let names: Vec<String> = contract.accounts.iter().map(Name::to_string).collect();
                table.push([
                    model.name.to_string(),
                    contract.zone.to_string(),
                    contract.replicas.to_string(),
                    if names.is_empty() {
                        "all".to_owned()
                    } else {
                        names.join(",")
                    },
                ]);
            }
        }
    }
    table
}

/// Engine with its loaded and assigned versions.
struct EngineRow<'a> {
    engine: &'a Engine,
    loaded: Vec<VersionKey>,
    assigned: Option<VersionKey>,
}

impl<'a> EngineRow<'a> {
    fn of(catalogue: &Catalogue, engine: &'a Engine) -> Self {
        let status = &engine.status;
        let manifests = status.weights.iter().chain(&status.adapters);
        let version_of = |digest: &Digest| catalogue.version_by_digest(*digest);
        let assigned = catalogue.assignments().get(&status.name);
        Self {
            engine,
            loaded: manifests.filter_map(version_of).collect(),
            assigned: assigned.map(|assignment| assignment.version),
        }
    }

    fn matches(&self, catalogue: &Catalogue, query: &Query) -> bool {
        let Filter {
            zone,
            model,
            version,
            server,
            ..
        } = &query.filter;
        let status = &self.engine.status;
        let is_draining = !self.engine.is_usable || status.phase == Phase::Draining;
        let is_loading =
            status.chunks_held < status.chunks_wanted || status.phase == Phase::Loading;
        let is_in_subject = match query.subject {
            Subject::Loaded => !self.loaded.is_empty(),
            Subject::Loading => is_loading,
            Subject::Live => !is_draining && self.loaded.iter().any(|key| is_open(catalogue, *key)),
            Subject::Draining => is_draining,
            _ => true,
        };
        let has_name = |key: &VersionKey| {
            let entry = catalogue.version(*key);
            matches_filter(model.as_ref(), &catalogue.model(entry.model).name)
                && matches_filter(version.as_ref(), &entry.name)
        };
        let is_unfiltered = model.is_none() && version.is_none();
        is_in_subject
            && matches_filter(zone.as_ref(), &self.engine.zone.name)
            && matches_filter(server.as_ref(), &self.engine.server_name)
            && (is_unfiltered || self.loaded.iter().chain(&self.assigned).any(has_name))
    }

    fn cells(&self, catalogue: &Catalogue) -> [String; 12] {
        let status = &self.engine.status;
        let labels: Vec<String> = self
            .loaded
            .iter()
            .map(|key| catalogue.label(*key))
            .collect();
        [
            status.name.to_string(),
            self.engine.server_name.to_string(),
            self.engine.zone.name.to_string(),
            status.kind.to_string(),
            if self.engine.is_usable {
                status.phase.as_str()
            } else {
                "unusable"
            }
            .to_owned(),
            if labels.is_empty() {
                "-".to_owned()
            } else {
                labels.join(",")
            },
            format_or_dash(self.assigned.map(|key| catalogue.label(key))),
            format!("{}/{}", status.chunks_held, status.chunks_wanted),
            status.origin_bytes.to_string(),
            status.peer_bytes.to_string(),
            format!("{}/{}", status.others, status.capacity),
            format_or_dash(status.trouble.clone()),
        ]
    }
}

fn is_open(catalogue: &Catalogue, key: VersionKey) -> bool {
    let model = catalogue.version(key).model;
    catalogue.open_versions(model).any(|open| open == key)
}
