//! Signals in the heads of engines' responses.

use {
    super::State,
    crate::clock,
    gingerpier_http1::head::Response,
    gingerpier_serving::{
        fleet::EngineKey,
        signals::{RequestLimit, Signals},
    },
};

impl State {
    /// Records the signals in the head of a response of `engine`.
    pub fn record_signals(&self, engine: EngineKey, head: &Response) {
        let signals = self.signals_of(head);
        let mut fleet = self.fleet.borrow_mut();
        let engine = fleet.engine_mut(engine);
        if engine.signals.record(&signals) {
            tracing::info!(
                engine = engine.record.id,
                limit = ?engine.signals.request_limit(),
                in_flight = engine.load.in_flight,
                report_age = ?engine.report_age(clock::now()),
                "engine changed its request limit"
            );
        }
    }

    fn signals_of(&self, head: &Response) -> Signals {
        let names = self.platform_api.header_names();
        Signals {
            request_limit: RequestLimit::parse(head.fields.all(names.request_limit)),
        }
    }
}
