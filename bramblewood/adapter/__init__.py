"""The simulator's wire: words, units, ids and the hosting of many managers in one process. No decisions."""
