//! Spans of traces, one for each hop of a request.

use std::collections::HashMap;

use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry_sdk::propagation::TraceContextPropagator;

use crate::wire::Trace;

/// The name of the W3C header that carries a trace context.
const TRACEPARENT: &str = "traceparent";

/// A span in progress. The span ends when the value is dropped.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Span {
    /// Begins a span as a child of `parent`, or the root span of a new trace.
    ///
    /// # Examples
    ///
    /// ```
    /// use landingvalve::telemetry::Span;
    ///
    /// let call = Span::begin("call", None);
    /// let admit = Span::begin("admit", call.trace().as_ref());
    /// drop(admit);
    /// ```
    pub fn begin(name: &'static str, parent: Option<&Trace>) -> Span {
        let parent = match parent {
            Some(trace) => {
                let header = (TRACEPARENT.to_owned(), trace.clone());
                let carrier = HashMap::from([header]);
                TraceContextPropagator::new().extract(&carrier)
            }
            None => Context::new(),
        };
        let tracer = opentelemetry::global::tracer("landingvalve");
        let span = tracer.start_with_context(name, &parent);
        Span {
            context: parent.with_span(span),
        }
    }

    /// Sets an attribute of the span.
    pub fn set(&self, key: &'static str, value: impl ToString) {
        let value = KeyValue::new(key, value.to_string());
        self.context.span().set_attribute(value);
    }

    /// Returns the trace context of this span, to be the parent of other
    /// spans. `None` if no trace provider is installed.
    pub fn trace(&self) -> Option<Trace> {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new()
            .inject_context(&self.context, &mut carrier);
        carrier.remove(TRACEPARENT)
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
