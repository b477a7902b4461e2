//! Answers to operators' queries.

use {
    super::{
        Entry,
        fleet::{Engine, Offer},
    },
    crate::table::Table,
    gingerpier_base::{Digest, Name, Stamp},
    gingerpier_catalogue::{Catalogue, VersionKey, model::Model},
    gingerpier_language::statement::{Filter, Query, Subject},
    gingerpier_wire::frame::Phase,
    std::time::{Duration, UNIX_EPOCH},
};

/// Whether a part of a filter holds; one that is not given does.
fn holds(wanted: Option<&Name>, found: &Name) -> bool {
    wanted.is_none_or(|wanted| wanted == found)
}

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}

fn time(stamp: Stamp) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(stamp.as_unix_millis());
    humantime::format_rfc3339_millis(time).to_string()
}

impl Entry {
    /// Answers a query.
    ///
    /// # Errors
    ///
    /// Says why it can't be answered now.
    pub async fn answer_query(&self, query: &Query) -> Result<Table, String> {
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
            .filter(|(_, held)| holds(filter.model.as_ref(), &held.name))
        {
            let Some(rollout) = &model.rollout else {
                continue;
            };
            let version = catalogue.version(rollout.to);
            let base = version.base.unwrap_or(rollout.to);
            let serving = self
                .fleet
                .borrow()
                .serving(&Offer::WeightsCache(version.manifest));
            let replicas: u32 = model
                .contracts
                .iter()
                .map(|contract| contract.replicas)
                .sum();
            let slowest = self.slowest(catalogue, base);
            let steps: Vec<String> = rollout.steps.iter().map(u8::to_string).collect();
            table.push([
                model.name.to_string(),
                version.name.to_string(),
                steps.join(","),
                rollout.reached.to_string(),
                if rollout.paused { "held" } else { "running" }.to_owned(),
                serving.to_string(),
                replicas.to_string(),
                slowest.as_ref().map_or(0, |(_, left)| *left).to_string(),
                or_dash(slowest.map(|(name, _)| name)),
                rollout.since.to_string(),
            ]);
        }
        table
    }

    /// Backend server that lacks the most chunks of a version, and how many.
    fn slowest(&self, catalogue: &Catalogue, version: VersionKey) -> Option<(Name, u32)> {
        let fleet = self.fleet.borrow();
        let assigned = fleet.engines().filter(|(_, engine)| {
            let held = catalogue.assignments().get(&engine.status.name);
            held.is_some_and(|held| held.version == version)
        });
        let left = assigned.map(|(_, engine)| {
            let status = &engine.status;
            (
                engine.server_name.clone(),
                status.chunks_wanted - status.chunks_held,
            )
        });
        left.filter(|(_, left)| *left > 0)
            .max_by_key(|(_, left)| *left)
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
        let me = &self.process.hello;
        let standing = if self.process.is_leaving() {
            "leaving"
        } else {
            "alive"
        };
        table.push([
            me.name.to_string(),
            me.role.to_string(),
            me.zone.region.to_string(),
            me.zone.name.to_string(),
            standing.to_owned(),
            me.address.clone(),
            me.incarnation.to_string(),
        ]);
        for (key, member) in self.members.borrow().iter() {
            table.push([
                member.name.to_string(),
                member.role.to_string(),
                member.zone.region.to_string(),
                member.zone.name.to_string(),
                self.standing(key).as_str().to_owned(),
                member.address.clone(),
                or_dash(member.incarnation()),
            ]);
        }
        let wanted = |row: &Vec<String>| {
            let cell =
                |name: Option<&Name>, cell: &String| name.is_none_or(|name| name.as_str() == cell);
            cell(filter.zone.as_ref(), &row[3]) && cell(filter.server.as_ref(), &row[0])
        };
        table.rows.retain(wanted);
        table.rows.sort();
        table
    }

    fn revisions(&self, filter: &Filter) -> Table {
        let mut table = Table::new(&["box", "zone", "revision", "behind_by"]);
        let latest = self.process.catalogue_state.revision();
        let me = &self.process.hello;
        let own = (me.name.clone(), me.zone.name.clone(), latest);
        let members = self.members.borrow();
        let others = members.iter().map(|(key, member)| {
            (
                member.name.clone(),
                member.zone.name.clone(),
                self.links.revision(key),
            )
        });
        for (name, zone, revision) in std::iter::once(own).chain(others) {
            if holds(filter.zone.as_ref(), &zone) && holds(filter.server.as_ref(), &name) {
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
                    time(entry.stamp),
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
        if !holds(filter.model.as_ref(), &model.name) {
            continue;
        }
        let name = |key: VersionKey| catalogue.version(key).name.to_string();
        let live: Vec<String> = model.live.iter().map(|key| name(*key)).collect();
        table.push([
            model.name.to_string(),
            model.kind.to_string(),
            or_dash(model.base.map(|base| catalogue.model(base).name.clone())),
            if live.is_empty() {
                "-".to_owned()
            } else {
                live.join(",")
            },
            or_dash(model.previous.map(name)),
            or_dash(model.rollout.as_ref().map(|rollout| name(rollout.to))),
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
        let wanted = holds(filter.model.as_ref(), &model.name)
            && holds(filter.version.as_ref(), &version.name);
        if wanted {
            table.push([
                model.name.to_string(),
                version.name.to_string(),
                version_state(model, key).to_owned(),
                version.bytes.to_string(),
                or_dash(
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
            let wanted = holds(filter.model.as_ref(), &model.name)
                && holds(filter.zone.as_ref(), &contract.zone);
            if wanted {
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

/// An engine with the versions that it holds and is to hold.
struct EngineRow<'a> {
    engine: &'a Engine,
    holds: Vec<VersionKey>,
    assigned: Option<VersionKey>,
}

impl<'a> EngineRow<'a> {
    fn of(catalogue: &Catalogue, engine: &'a Engine) -> Self {
        let status = &engine.status;
        let manifests = status.weights.iter().chain(&status.adapters);
        let known = |digest: &Digest| catalogue.version_of_digest(*digest);
        let assigned = catalogue.assignments().get(&status.name);
        Self {
            engine,
            holds: manifests.filter_map(known).collect(),
            assigned: assigned.map(|held| held.version),
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
        let draining = !self.engine.usable || status.phase == Phase::Draining;
        let loading = status.chunks_held < status.chunks_wanted || status.phase == Phase::Loading;
        let subject = match query.subject {
            Subject::Loaded => !self.holds.is_empty(),
            Subject::Loading => loading,
            Subject::Live => !draining && self.holds.iter().any(|key| is_open(catalogue, *key)),
            Subject::Draining => draining,
            _ => true,
        };
        let named = |key: &VersionKey| {
            let held = catalogue.version(*key);
            holds(model.as_ref(), &catalogue.model(held.model).name)
                && holds(version.as_ref(), &held.name)
        };
        let any_version = model.is_none() && version.is_none();
        subject
            && holds(zone.as_ref(), &self.engine.zone.name)
            && holds(server.as_ref(), &self.engine.server_name)
            && (any_version || self.holds.iter().chain(&self.assigned).any(named))
    }

    fn cells(&self, catalogue: &Catalogue) -> [String; 12] {
        let status = &self.engine.status;
        let held: Vec<String> = self.holds.iter().map(|key| catalogue.label(*key)).collect();
        [
            status.name.to_string(),
            self.engine.server_name.to_string(),
            self.engine.zone.name.to_string(),
            status.kind.to_string(),
            if self.engine.usable {
                status.phase.as_str()
            } else {
                "unusable"
            }
            .to_owned(),
            if held.is_empty() {
                "-".to_owned()
            } else {
                held.join(",")
            },
            or_dash(self.assigned.map(|key| catalogue.label(key))),
            format!("{}/{}", status.chunks_held, status.chunks_wanted),
            status.origin_bytes.to_string(),
            status.peer_bytes.to_string(),
            format!("{}/{}", status.others, status.capacity),
            or_dash(status.trouble.clone()),
        ]
    }
}

fn is_open(catalogue: &Catalogue, key: VersionKey) -> bool {
    let model = catalogue.version(key).model;
    catalogue.open_versions(model).any(|open| open == key)
}
