//! Lines of log files.

/// One line of a log file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogLine<'a> {
    /// Name of the log file.
    pub source: &'a str,
    /// Seconds since the Unix epoch; 0 if the line has no valid time.
    pub time: f64,
    /// The line without surrounding blanks.
    pub text: &'a str,
}

impl<'a> LogLine<'a> {
    /// A line of the log file `source`.
    pub fn new(source: &'a str, text: &'a str) -> Self {
        let text = text.trim();
        let time = field(text, "time").and_then(|time| time.parse().ok());
        Self {
            source,
            time: time.filter(|time: &f64| time.is_finite()).unwrap_or(0.0),
            text,
        }
    }

    /// Value of a field; values with blanks are cut at the first one.
    pub fn field(&self, key: &str) -> Option<&'a str> {
        field(self.text, key)
    }

    /// Value of a field that is known: neither absent nor `-`.
    pub fn known(&self, key: &str) -> Option<&'a str> {
        self.field(key).filter(|value| *value != "-")
    }

    /// The number in a field.
    pub fn number(&self, key: &str) -> Option<u64> {
        self.field(key)?.parse().ok()
    }

    /// Whether the line's event is one of `events`.
    pub fn is_event(&self, events: &[&str]) -> bool {
        self.field("event")
            .is_some_and(|event| events.contains(&event))
    }
}

/// All lines of a log file.
pub fn lines<'a>(
    source: &'a str,
    text: &'a str,
) -> impl DoubleEndedIterator<Item = LogLine<'a>> {
    text.lines().map(move |line| LogLine::new(source, line))
}

fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut fields = line.split(' ');
    fields.find_map(|field| field.strip_prefix(key)?.strip_prefix('='))
}
