"""The tables of a controller's database, by schema version, and the statements that write to them.

Version 1: a register was one row with its whole value, and proposal numbers had no epoch. Version 2: a
register's value lies in `parts`, a row for each part. Version 3: every row has a checksum, a register counts
and sums those of its parts, and `totals` those of the facts and the registers' names
(`storage_checksums.py`).
"""

DATABASE_FILE = "shelf.db"
SCHEMA_VERSION = 3  # the newest; a later one is not opened
SCHEMA_VERSION_2 = 2
SCHEMA_VERSION_1 = 1
NO_SCHEMA = 0  # an empty database

FACTS, REGISTERS, PARTS, TOTALS = "facts", "registers", "parts", "totals"  # tables

CREATE_TABLES = (
    "create table facts (name text primary key, value text not null, checksum integer not null)",
    "create table registers (name text primary key, promised text not null, accepted text not null,"
    " part_count integer not null, part_sum integer not null, checksum integer not null)",
    # in the order of id a value is put together
    "create table parts (id integer primary key, register text not null, path text not null,"
    " value text not null, checksum integer not null, unique (register, path))",
    # one row: of the facts and the registers' names together
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
DELETE_PARTS_BELOW = "delete from parts where register = ? and path > ? and path < ? returning checksum"
DELETE_PART = "delete from parts where register = ? and path = ? returning checksum"
PUT_TOTALS = "insert or replace into totals values (1, ?, ?, ?)"
