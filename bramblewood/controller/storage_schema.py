"""The tables of a controller's database in each schema version, and the SQL statements that write to them.

The schema version is stored in `pragma user_version`.

- Version 1: a register is one row that holds its whole value. Proposal numbers have no epoch.
- Version 2: the value of a register is stored in `parts`, with one row for each part.
- Version 3: every row has a checksum. A row of `registers` also holds the number of its parts and the sum of
  their checksums. The row of `totals` holds the same for the facts and the names of the registers
  (`storage_checksums.py`).
"""

DATABASE_FILE = "shelf.db"
SCHEMA_VERSION = 3  # the newest version; a database of a later version is not opened
SCHEMA_VERSION_2 = 2
SCHEMA_VERSION_1 = 1
NO_SCHEMA = 0  # the schema version of an empty database

FACTS, REGISTERS, PARTS, TOTALS = "facts", "registers", "parts", "totals"  # names of the tables

CREATE_TABLES = (
    "create table facts (name text primary key, value text not null, checksum integer not null)",
    "create table registers (name text primary key, promised text not null, accepted text not null,"
    " part_count integer not null, part_sum integer not null, checksum integer not null)",
    # A value is assembled from its parts in the order of their ids.
    "create table parts (id integer primary key, register text not null, path text not null,"
    " value text not null, checksum integer not null, unique (register, path))",
    # The table has one row, which covers the facts and the names of the registers together.
    "create table totals (id integer primary key, row_count integer not null, row_sum integer not null,"
    " checksum integer not null)",
)
DROP_TABLES = tuple(f"drop table if exists {name}" for name in (FACTS, REGISTERS, PARTS, TOTALS))

PUT_FACT = (
    "insert into facts values (?, ?, ?) on conflict (name) do update"
    " set value = excluded.value, checksum = excluded.checksum"
)
DELETE_FACT = "delete from facts where name = ?"
PUT_REGISTER = (
    "insert into registers values (?, ?, ?, ?, ?, ?) on conflict (name) do update"
    " set promised = excluded.promised, accepted = excluded.accepted, part_count = excluded.part_count,"
    " part_sum = excluded.part_sum, checksum = excluded.checksum"
)
PUT_PART = (
    "insert into parts (register, path, value, checksum) values (?, ?, ?, ?)"
    " on conflict (register, path) do update set value = excluded.value, checksum = excluded.checksum"
)
DELETE_DESCENDANT_PARTS = "delete from parts where register = ? and path > ? and path < ? returning checksum"
DELETE_PART = "delete from parts where register = ? and path = ? returning checksum"
PUT_TOTALS = "insert or replace into totals values (1, ?, ?, ?)"
