/* A request, its handle, its reader and a restart of the coordinator, as src/spool and src/spool/logic have them.
 *
 * Checked by models/check: one final answer a request; 'served' once, at the last row; no page after a release;
 * the engine always freed; what is held comes back to nothing; a load runs once. With -DBROKEN_DROP the engine's
 * half result is kept when it dies, with -DBROKEN_RELEASE a page read from disk is handed out after the release:
 * spin must find both.
 */
#define PAGES 3

mtype = { running, filling, ready, readout, ended };  /* states of the result; src/spool/logic/state.h */

mtype state = running;
byte pages = 0;        /* here, of the present attempt */
byte attempt = 0;      /* whose pages are here */
byte runs = 0;         /* times the engine began it */
bool engine_busy = false;
bool load;             /* must not run twice */
byte answers = 0;      /* final answers of the request */
byte served = 0;
byte handed = 0;       /* pages handed out, from the first on */
bool mixed = false;    /* pages of two attempts in one result */
bool held = false;     /* bytes in memory */
bool on_disk = false;
bool storing = false;
bool released = false;
bool after_release = false;
bool up = true;        /* the coordinator's process */
bool restarted = false;
bool quit = false;     /* give-up time has passed */
bool reader_done = false;

inline free_all() {
  held = false; pages = 0;
  /* the disk's own copy is erased behind a store under way */
  if
  :: on_disk -> on_disk = false
  :: else
  fi
}

/* An engine's attempt: it dies, or gives all pages one by one. Stops with the process that asked. */
proctype Engine() {
  do
  :: atomic { up && state == running && !engine_busy && !quit && runs < 3 && (runs == 0 || !load) && answers == 0 ->
       engine_busy = true; runs++; attempt = runs; state = filling; held = true }
     do
     :: atomic { up && engine_busy && state == filling && pages < PAGES -> pages++;
          if :: attempt != runs -> mixed = true :: else fi }
     :: atomic { engine_busy && state == filling && pages < PAGES ->   /* it dies */
          engine_busy = false; state = running;
#ifdef BROKEN_DROP
          mixed = (pages > 0);   /* what the next attempt would find */
#else
          held = false; pages = 0;
#endif
          if :: load && answers == 0 -> answers++; state = ended; held = false; pages = 0 :: else fi;
          break }
     :: atomic { up && engine_busy && state == filling && pages == PAGES ->
          engine_busy = false; state = ready; answers++; break }
     :: atomic { (!up || state == ended) -> engine_busy = false; break }
     od
  :: atomic { (state != running || !up || quit || answers > 0 || runs == 3) && !engine_busy -> break }
  od
}

proctype Disk() {
  do
  :: atomic { up && state >= 0 && (state == ready || state == readout) && held && !storing && !on_disk -> storing = true }
     if
     :: atomic { up && storing -> storing = false;
          if
          :: state == ready || state == readout -> on_disk = true; held = false
          :: else   /* it ended meanwhile: erased behind the store */
          fi }
     :: atomic { storing -> storing = false }   /* the tier failed: it stays in memory */
     :: atomic { !storing -> skip }   /* its process is gone */
     fi
  :: atomic { state == ended || quit -> break }
  od
}

proctype Reader() {
  bool reading_disk = false;
  do
  :: atomic { up && (state == ready || state == readout) && handed < PAGES && !reading_disk ->
       if
       :: held -> handed++;
            if :: released -> after_release = true :: else fi;
            if :: handed == PAGES && state == ready -> state = readout; served++ :: else fi
       :: !held && on_disk -> reading_disk = true
       :: !held && !on_disk -> skip
       fi }
  :: atomic { reading_disk ->
       reading_disk = false;
#ifdef BROKEN_RELEASE
       if :: released -> after_release = true :: else fi;
#endif
       if
       :: up && (state == ready || state == readout) -> handed++;
            if :: handed == PAGES && state == ready -> state = readout; served++ :: else fi
       :: else   /* it has ended: the reader is told, and gets nothing */
       fi }
  :: atomic { up && state == readout && handed == PAGES -> state = ended; free_all() }    /* acknowledged */
  :: atomic { up && (state == ready || state == readout) && !released -> released = true; state = ended; free_all() }
  :: atomic { up && handed > 0 && handed < PAGES -> handed = 0 }                          /* drops, and resumes anew */
  :: atomic { state == ended || quit -> reader_done = true; break }
  od
}

/* kill -9, once; the next process has what was on disk. Memory goes with the process. */
proctype Restart() {
  if
  :: atomic { up -> up = false; held = false; storing = false }
     atomic {
       up = true; restarted = true;
       if
       :: on_disk && (state == ready || state == readout) -> state = ready; served = 0   /* counted by each process */
       :: else -> state = ended; on_disk = false; pages = 0
       fi }
  :: skip
  fi
}

proctype Clock() {
  atomic { quit = true;   /* give-up time: whatever there is ends */
    if :: answers == 0 && !restarted -> answers++ :: else fi;
    state = ended; engine_busy = false; free_all() }
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
  assert(!held && !storing && !on_disk);
}

ltl one_answer { [] (answers <= 1) }
ltl served_once { [] (served <= 1) }
ltl never_mixed { [] (!mixed) }
ltl nothing_after_release { [] (!after_release) }
ltl load_once { [] (!load || runs <= 1) }
ltl engine_freed { <> [] (!engine_busy) }
