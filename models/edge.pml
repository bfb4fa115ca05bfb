/* One load, its device, the edge's ledger and its process, as src/edge/logic/ledger_logic and edge_logic have them.
 *
 * The device asks until it has an answer, and asks again afterwards (it may have lost its memory); links lose what is
 * on them; the process may be killed twice, at any moment. Checked: the load runs once at most; what the device was
 * told is never taken back; a device that keeps asking is answered in the end. With -DBROKEN_ORDER the load is
 * dispatched before its record is on the disk, with -DBROKEN_TELL its outcome is told before that.
 */
mtype = { none, taken, dispatched, answered, told, unknown };

mtype mem = none;            /* the entry in this process */
bool disk_dispatched = false, disk_answered = false;
bool writing_dispatch = false, writing_answer = false;   /* a commit under way */
bool running = false;        /* at the engine: its process outlives the edge's */
bool answer_due = false;     /* the coordinator of this process will hear of the end */
byte runs = 0;
bool request = false;        /* on the link to the edge */
byte reply = 0;              /* on the link to the device: 1 served, 2 unknown */
byte first = 0;              /* what the device was told first */
bool changed = false;
byte crashes = 0, asked = 0;

inline tell() {
  if
  :: mem == told -> reply = 1
  :: mem == unknown -> reply = 2
  :: else
  fi
}

active proctype Edge() {
end:
  do
  :: atomic { request -> request = false;
       if
       :: mem == none ->
            mem = taken;
#ifdef BROKEN_ORDER
            mem = dispatched; running = true; answer_due = true;
#endif
            writing_dispatch = true
       :: mem == told || mem == unknown -> tell()
       :: else   /* under way */
       fi }
  od
}

/* Commits, one after the other: processes of their own, so that fairness lets each go on. */
active proctype DispatchRecord() {
end:
  do
  :: atomic { writing_dispatch -> writing_dispatch = false; disk_dispatched = true;
       if :: mem == taken -> mem = dispatched; running = true; answer_due = true :: else fi }
  od
}

active proctype AnswerRecord() {
end:
  do
  :: atomic { writing_answer -> writing_answer = false;
       if
       :: disk_answered = true; if :: mem == answered -> mem = told :: else fi
       :: if :: mem == answered -> mem = unknown :: else fi    /* the disk is full */
       fi;
       tell() }
  od
}

active proctype Coordinator() {
end:
  do
  :: atomic { mem == dispatched && !running && answer_due -> answer_due = false; mem = answered; writing_answer = true;
#ifdef BROKEN_TELL
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
       :: first == 0 -> first = reply
       :: first > 0 && first != reply -> changed = true
       :: else
       fi;
       reply = 0 }
  :: atomic { !request && reply == 0 && (first == 0 || asked < 6) ->
       request = true; if :: asked < 6 -> asked++ :: else fi }
  :: atomic { first > 0 && asked == 6 -> break }
  od
}

active proctype Link() {
  byte lost = 0;
  do
  :: atomic { request && lost < 2 -> request = false; lost++ }
  :: atomic { reply > 0 && lost < 2 -> reply = 0; lost++ }
  :: atomic { first > 0 || lost == 2 -> break }
  od
}

/* kill -9: memory, commits under way and what was on the links are gone; the engine goes on. */
active proctype Crash() {
  do
  :: atomic { crashes < 2 -> crashes++;
       writing_dispatch = false; writing_answer = false; answer_due = false; request = false; reply = 0;
       if
       :: disk_answered -> mem = told
       :: !disk_answered && disk_dispatched -> mem = unknown
       :: else -> mem = none
       fi }
  :: break
  od
}

ltl load_once { [] (runs <= 1) }
ltl never_taken_back { [] (!changed) }
ltl answered_in_the_end { <> (first > 0) }
