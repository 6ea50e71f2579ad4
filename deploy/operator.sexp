; The operator's own settings; docs/configuration.md names every key. Named by `serve --operator FILE` or by the
; variable BRAMBLEWOOD_OPERATOR. Without it all of this is off.

(store                                  ; what must last: drains, further tries ordered, withdrawals, marks
  (folder "/var/lib/bramblewood/m0")    ; on a lasting disc; one folder a manager
  (flush apart)                         ; by a process of its own, or in-loop
  (must-exist no)                       ; yes: a missing store counts as lost, and the start is careful
  (background 0.001)                    ; s of each turn for sealing and merging
  (hold 0.25)                           ; s that orders wait at most for what they rest on to be on the disc
  (keep 86400.0))                       ; s that a closed worker is remembered
