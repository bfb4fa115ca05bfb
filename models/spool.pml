/* One request with its handle, its reader and a restart of the coordinator, as in src/spool and src/spool/logic.
 *
 * models/check verifies: one final answer per request; 'served' counted once, at the last row; no page sent after a
 * release; the engine is always freed; nothing is held at the end; a load runs at most once. -DBROKEN_DROP keeps the
 * partial result of an engine that dies, -DBROKEN_RELEASE sends a page read from disk after the release: spin must
 * find an error in both variants.
 */
#define PAGES 3

mtype = { running, filling, ready, readout, ended };  /* states of the result, see src/spool/logic/state.h */

mtype state = running;
byte pages = 0;             /* received from the current attempt */
byte pages_attempt = 0;     /* the attempt that the pages belong to */
byte attempts = 0;          /* attempts started */
bool engine_busy = false;
bool load;                  /* a load must not run twice */
byte answers = 0;           /* final answers sent */
byte served = 0;
byte pages_sent = 0;        /* pages sent to the reader, from the first on */
bool mixed_pages = false;   /* one result has pages of two attempts */
bool in_memory = false;     /* the result occupies memory */
bool on_disk = false;
bool storing = false;
bool released = false;
bool sent_after_release = false;
bool alive = true;          /* the coordinator process runs */
bool restarted = false;
bool timed_out = false;     /* the give-up time has passed */
bool reader_done = false;

inline release_all() {
  in_memory = false; pages = 0;
  /* the copy on disk is erased after a store that is under way */
  if
  :: on_disk -> on_disk = false
  :: else
  fi
}

/* The engine's attempts: each one sends all pages one by one, or dies. They stop when the coordinator dies. */
proctype Engine() {
  do
  :: atomic { alive && state == running && !engine_busy && !timed_out && attempts < 3 && (attempts == 0 || !load) && answers == 0 ->
       engine_busy = true; attempts++; pages_attempt = attempts; state = filling; in_memory = true }
     do
     :: atomic { alive && engine_busy && state == filling && pages < PAGES -> pages++;
          if :: pages_attempt != attempts -> mixed_pages = true :: else fi }
     :: atomic { engine_busy && state == filling && pages < PAGES ->   /* the engine dies */
          engine_busy = false; state = running;
#ifdef BROKEN_DROP
          mixed_pages = (pages > 0);   /* the next attempt would add to the old pages */
#else
          in_memory = false; pages = 0;
#endif
          if :: load && answers == 0 -> answers++; state = ended; in_memory = false; pages = 0 :: else fi;
          break }
     :: atomic { alive && engine_busy && state == filling && pages == PAGES ->
          engine_busy = false; state = ready; answers++; break }
     :: atomic { (!alive || state == ended) -> engine_busy = false; break }
     od
  :: atomic { (state != running || !alive || timed_out || answers > 0 || attempts == 3) && !engine_busy -> break }
  od
}

proctype Disk() {
  do
  :: atomic { alive && state >= 0 && (state == ready || state == readout) && in_memory && !storing && !on_disk -> storing = true }
     if
     :: atomic { alive && storing -> storing = false;
          if
          :: state == ready || state == readout -> on_disk = true; in_memory = false
          :: else   /* the result has ended: erased after the store */
          fi }
     :: atomic { storing -> storing = false }   /* the disk tier failed: the result stays in memory */
     :: atomic { !storing -> skip }   /* the coordinator died */
     fi
  :: atomic { state == ended || timed_out -> break }
  od
}

proctype Reader() {
  bool reading_disk = false;
  do
  :: atomic { alive && (state == ready || state == readout) && pages_sent < PAGES && !reading_disk ->
       if
       :: in_memory -> pages_sent++;
            if :: released -> sent_after_release = true :: else fi;
            if :: pages_sent == PAGES && state == ready -> state = readout; served++ :: else fi
       :: !in_memory && on_disk -> reading_disk = true
       :: !in_memory && !on_disk -> skip
       fi }
  :: atomic { reading_disk ->
       reading_disk = false;
#ifdef BROKEN_RELEASE
       if :: released -> sent_after_release = true :: else fi;
#endif
       if
       :: alive && (state == ready || state == readout) -> pages_sent++;
            if :: pages_sent == PAGES && state == ready -> state = readout; served++ :: else fi
       :: else   /* the result has ended: the reader gets an error and no page */
       fi }
  :: atomic { alive && state == readout && pages_sent == PAGES -> state = ended; release_all() }    /* acknowledged */
  :: atomic { alive && (state == ready || state == readout) && !released -> released = true; state = ended; release_all() }
  :: atomic { alive && pages_sent > 0 && pages_sent < PAGES -> pages_sent = 0 }                          /* disconnects and resumes from the start */
  :: atomic { state == ended || timed_out -> reader_done = true; break }
  od
}

/* At most one kill -9: what is in memory is lost, and the next process has what was on disk. */
proctype Restart() {
  if
  :: atomic { alive -> alive = false; in_memory = false; storing = false }
     atomic {
       alive = true; restarted = true;
       if
       :: on_disk && (state == ready || state == readout) -> state = ready; served = 0   /* each process counts on its own */
       :: else -> state = ended; on_disk = false; pages = 0
       fi }
  :: skip
  fi
}

proctype Clock() {
  atomic { timed_out = true;   /* at the give-up time the request ends in any state */
    if :: answers == 0 && !restarted -> answers++ :: else fi;
    state = ended; engine_busy = false; release_all() }
}

init {
  atomic {
    if :: load = true :: load = false fi;
    run Engine(); run Disk(); run Reader(); run Restart(); run Clock()
  }
  (_nr_pr == 1);
  assert(answers <= 1);
  assert(restarted || answers == 1);
  assert(!engine_busy);
  assert(!in_memory && !storing && !on_disk);
}

ltl one_answer { [] (answers <= 1) }
ltl served_once { [] (served <= 1) }
ltl never_mixed { [] (!mixed_pages) }
ltl nothing_after_release { [] (!sent_after_release) }
ltl load_once { [] (!load || attempts <= 1) }
ltl engine_freed { <> [] (!engine_busy) }
