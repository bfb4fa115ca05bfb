/* Model of one load, its device, the edge's ledger and the edge's process, as in src/edge/logic/ledger_logic and
 * edge_logic.
 *
 * The device retries until it has an answer, and retries afterwards as well (it may have lost its state); links lose
 * messages; the process may be killed twice, at any point. Checked: the load runs at most once; an outcome reported to
 * the device never changes; a device that keeps retrying is answered eventually. With -DBROKEN_ORDER the load is
 * dispatched before its record is on disk, with -DBROKEN_REPORT its outcome is reported before its record is on disk.
 */
mtype = { none, taken, dispatched, answered, told, unknown };

mtype state = none;            /* state of the entry in this process */
bool dispatch_on_disk = false, answer_on_disk = false;
bool writing_dispatch_record = false, writing_answer_record = false;   /* a commit is in progress */
bool running = false;        /* at the engine, which outlives the edge's process */
bool completion_pending = false;     /* this process's coordinator will report the end */
byte runs = 0;
bool request = false;        /* on the link to the edge */
byte reply = 0;              /* on the link to the device: 1 served, 2 unknown */
byte first_reply = 0;              /* the first outcome that the device received */
bool outcome_changed = false;
byte crashes = 0, requests_sent = 0;

inline send_reply() {
  if
  :: state == told -> reply = 1
  :: state == unknown -> reply = 2
  :: else
  fi
}

active proctype Edge() {
end:
  do
  :: atomic { request -> request = false;
       if
       :: state == none ->
            state = taken;
#ifdef BROKEN_ORDER
            state = dispatched; running = true; completion_pending = true;
#endif
            writing_dispatch_record = true
       :: state == told || state == unknown -> send_reply()
       :: else   /* in progress */
       fi }
  od
}

/* Commits, one at a time, in processes of their own so that fairness applies to each. */
active proctype DispatchRecord() {
end:
  do
  :: atomic { writing_dispatch_record -> writing_dispatch_record = false; dispatch_on_disk = true;
       if :: state == taken -> state = dispatched; running = true; completion_pending = true :: else fi }
  od
}

active proctype AnswerRecord() {
end:
  do
  :: atomic { writing_answer_record -> writing_answer_record = false;
       if
       :: answer_on_disk = true; if :: state == answered -> state = told :: else fi
       :: if :: state == answered -> state = unknown :: else fi    /* the disk is full */
       fi;
       send_reply() }
  od
}

active proctype Coordinator() {
end:
  do
  :: atomic { state == dispatched && !running && completion_pending -> completion_pending = false; state = answered; writing_answer_record = true;
#ifdef BROKEN_REPORT
       reply = 1
#endif
     }
  od
}

active proctype Engine() {
end:
  do
  :: atomic { running -> runs++; running = false }
  od
}

active proctype Device() {
  do
  :: atomic { reply > 0 ->
       if
       :: first_reply == 0 -> first_reply = reply
       :: first_reply > 0 && first_reply != reply -> outcome_changed = true
       :: else
       fi;
       reply = 0 }
  :: atomic { !request && reply == 0 && (first_reply == 0 || requests_sent < 6) ->
       request = true; if :: requests_sent < 6 -> requests_sent++ :: else fi }
  :: atomic { first_reply > 0 && requests_sent == 6 -> break }
  od
}

active proctype Link() {
  byte lost = 0;
  do
  :: atomic { request && lost < 2 -> request = false; lost++ }
  :: atomic { reply > 0 && lost < 2 -> reply = 0; lost++ }
  :: atomic { first_reply > 0 || lost == 2 -> break }
  od
}

/* kill -9: memory, commits in progress and messages on the links are lost; the engine continues. */
active proctype Crash() {
  do
  :: atomic { crashes < 2 -> crashes++;
       writing_dispatch_record = false; writing_answer_record = false; completion_pending = false; request = false; reply = 0;
       if
       :: answer_on_disk -> state = told
       :: !answer_on_disk && dispatch_on_disk -> state = unknown
       :: else -> state = none
       fi }
  :: break
  od
}

ltl load_at_most_once { [] (runs <= 1) }
ltl outcome_never_changes { [] (!outcome_changed) }
ltl answered_eventually { <> (first_reply > 0) }
