"""An embedded store: log, sorted tables, compaction, recovery. It knows keys and values of bytes.

Formats: docs/formats.md; the design: docs/store.md.
"""
