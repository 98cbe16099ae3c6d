/*
 * Calls that are not idempotent. The model has one key, two entries that serve
 * submissions of it, two targets of which one agent may be replaced while its old
 * incarnation still runs, a store that loses responses before or after a write takes
 * effect and may apply a write late, and calls that reach an agent late or never.
 * Processes may pause anywhere: every access to shared state interleaves with every
 * other. Steps that access no shared state are merged into the access before them.
 *
 * docs/CALLS.md lists the function that each step models. check.sh explores the model
 * as it is, and then with each mutation (a macro MUT_...), which must violate a
 * property.
 */

#ifndef FIRST_SUBMISSIONS
#define FIRST_SUBMISSIONS 1 /* by entry 0 */
#endif
#ifndef SECOND_SUBMISSIONS
#define SECOND_SUBMISSIONS 1 /* by entry 1 */
#endif
#ifndef NONCES
#define NONCES 2 /* reservations in total */
#endif
#define NONE 0

mtype = { Unseen, Passed, Sealed }; /* a call that was passed to the target counts as executed */
mtype = { Lookup, Reserve, Release, Settle };
mtype = { Yes, No, Unclear };

typedef Record {
  byte nonce;  /* NONE: the page has no reservation */
  bit done
};

/* A compare-and-swap that is in flight to the store. It is applied at any time or
   never. Only equality of versions matters, so instead of a version number each write
   and each cached page records whether the page is still the one it is based on. */
typedef Write {
  bit sent;
  bit answered; /* the entry may read the response */
  bit swapped;
  bit current;  /* no other write has succeeded since */
  Record value
};

Record page;
Write write[2]; /* by entry */
Write abandoned[2]; /* a write for which the entry stopped waiting */
bit current[2]; /* the page cached by the entry equals the one in the store */

/* A reservation names a target and an incarnation of its agent. Incarnation 0 may be
   replaced at any time but still runs; incarnation 1 is its replacement, or the agent
   of the other target. */
byte nonces;
bit incarnation[NONCES + 1];
bit replaced;

/* The gates: gate[n] belongs to the incarnation that reservation n names. */
mtype gate[NONCES + 1] = Unseen;
bit in_flight[NONCES + 1]; /* the call is in flight to the gate */
byte executions;

/* History, mostly for the properties. */
bit committed[NONCES + 1];        /* the reservation was on the page */
bit reported_not_run[NONCES + 1]; /* "not run" was reported after it had been on the page */
bit submitted;                    /* there has been a submission */
bit resubmitted;                  /* there has been more than one */
byte k;

/* Reports "not run": the key has not run, and no reservation made so far will run. */
inline report_not_run() {
  assert(executions == 0);
  k = 1;
  do
  :: k <= NONCES && committed[k] -> reported_not_run[k] = 1; k++
  :: k <= NONCES && !committed[k] -> k++
  :: k > NONCES -> break
  od;
  k = 0
}

inline clear(w) {
  w.sent = 0; w.answered = 0; w.swapped = 0; w.current = 0; w.value.nonce = 0; w.value.done = 0
}

inline land(w) {
  if
  :: w.current ->
     page.nonce = w.value.nonce;
     page.done = w.value.done;
     write[0].current = 0; write[1].current = 0;
     current[0] = 0; current[1] = 0;
     w.current = 1;
     w.swapped = 1;
     if
     :: page.nonce == NONE -> report_not_run()
     :: page.nonce != NONE -> committed[page.nonce] = 1
     fi
  :: !w.current -> w.swapped = 0
  fi;
  w.sent = 0;
  w.answered = 1;
  /* an abandoned write has no effect after another write has succeeded */
  if
  :: w.swapped -> clear(abandoned[0]); clear(abandoned[1])
  :: !w.swapped -> skip
  fi
}

/* gate.Gate.Admit: the call reaches the gate that its reservation names. */
inline arrive(n) {
  in_flight[n] = 0;
  if
#ifdef MUT_PASS_SEALED
  :: true ->
#else
  :: gate[n] == Unseen ->
#endif
     gate[n] = Passed;
     executions++;
     assert(!reported_not_run[n]);
     assert(executions <= 1)
  /* the gate admits no new work, or the target accepts no connection */
  :: gate[n] == Unseen -> gate[n] = Sealed
#ifdef MUT_PASS_TWICE
  :: gate[n] == Unseen -> executions++; in_flight[n] = 1; assert(executions <= 1)
#endif
  :: gate[n] != Unseen -> skip
  fi
}

/* gate.Gate.Seal */
inline seal(n) {
  if
  :: gate[n] == Unseen -> gate[n] = Sealed;
#ifndef MUT_PASS_SEALED
     in_flight[n] = 0; /* its arrival would change nothing */
#endif
     skip
  :: gate[n] != Unseen -> skip
  fi
}

active proctype Environment() {
end:
  do
  :: atomic { write[0].sent -> land(write[0]) }
  :: atomic { write[1].sent -> land(write[1]) }
  :: atomic { abandoned[0].sent -> land(abandoned[0]); clear(abandoned[0]) }
  :: atomic { abandoned[1].sent -> land(abandoned[1]); clear(abandoned[1]) }
  :: atomic { !replaced -> replaced = 1 }
  :: atomic { in_flight[1] -> arrive(1) }
#if NONCES > 1
  :: atomic { in_flight[2] -> arrive(2) }
#endif
#if NONCES > 2
  :: atomic { in_flight[3] -> arrive(3) }
#endif
#if NONCES > 3
  :: atomic { in_flight[4] -> arrive(4) }
#endif
  od
}

inline drop_cache() { cached = 0; fresh = 0; cache.nonce = 0; cache.done = 0; current[e] = 0 }

proctype Entry(bit e; byte submissions) {
  byte own, voided, queried;
  bit first, sent, followed, refused;
  bit written; /* a write that contains own was issued */
  mtype op, result;
  Record cache;
  bit cached, fresh;

submit:
  atomic {
    if
    :: submissions == 0 -> goto done
    :: submissions > 0 -> submissions--
    fi;
    first = !submitted;
    resubmitted = submitted;
    submitted = 1;
    goto plan
  };

plan: /* submission.makeProgress */
  atomic {
    queried = NONE; own = NONE; written = 0;
    if
    :: refused = 1 /* no target is available, or too little time is left before the deadline */
    :: !refused && nonces < NONCES -> nonces++; own = nonces;
       if
       :: incarnation[own] = 0 /* also after it was replaced: over a link from before that */
       :: incarnation[own] = 1
       fi
    fi;
    if
    :: refused && voided == NONE -> op = Lookup
    :: refused && voided != NONE -> op = Release
    :: !refused -> op = Reserve
    fi;
#ifdef MUT_SEND_FIRST
    if
    :: op == Reserve -> in_flight[own] = 1
    :: op != Reserve -> skip
    fi;
#endif
    fresh = 0
  };

access: /* pageCommitter.tryCommit */
  if
  :: atomic { !cached ->
       cache.nonce = page.nonce; cache.done = page.done;
       current[e] = 1; cached = 1; fresh = 1;
       /* this read reports "not run" */
       if
       :: page.nonce == NONE && (op == Lookup || op == Release) -> report_not_run()
       :: page.nonce != NONE || (op != Lookup && op != Release) -> skip
       fi;
       goto apply }
  :: atomic { !cached -> goto down } /* no response within the time limit */
  :: atomic { cached -> goto apply }
  fi;

apply: /* callpage.Page.Apply */
  atomic {
    if
    :: op == Settle && cache.nonce == own && !cache.done ->
       goto issue
    :: op == Reserve && !cache.done && (cache.nonce == NONE || (voided != NONE && cache.nonce == voided)) ->
       goto issue
    :: op == Release && cache.nonce == voided && !cache.done ->
       goto issue
    :: op == Settle && (cache.nonce != own || cache.done) -> goto settled
    :: else -> skip
    fi;
#ifndef MUT_STALE_ABSENT
    /* nothing to write: only a page that was read for this batch is trusted */
    if
    :: !fresh && !cache.done -> drop_cache(); goto access
    :: fresh || cache.done -> skip
    fi;
#endif
    if
    :: op == Reserve && cache.nonce == own && !cache.done -> goto send
    :: cache.nonce == NONE ->
#ifdef MUT_STALE_ABSENT
       report_not_run();
#endif
       result = No; goto answer
    :: cache.done -> result = Yes; goto answer
    :: cache.nonce != NONE && !cache.done && !(op == Reserve && cache.nonce == own) -> goto follow
    fi
  };

issue: /* pageCommitter.write */
  atomic {
    written = 1;
    write[e].sent = 1;
    write[e].current = current[e];
    write[e].value.nonce = (op == Release -> NONE : own);
    write[e].value.done = (op == Settle)
  };

wait:
  if
  :: atomic { write[e].answered && write[e].swapped ->
       cache.nonce = write[e].value.nonce; cache.done = write[e].value.done;
       current[e] = write[e].current; fresh = 0;
       clear(write[e]);
       if
       :: op == Reserve -> goto send
       :: op == Release -> result = No; goto answer
       :: op == Settle -> goto settled
       fi }
  :: atomic { write[e].answered && !write[e].swapped -> /* a conflict returns the current page */
       clear(write[e]);
       drop_cache();
       goto access }
  :: atomic { true -> /* no response: the write was applied, will be applied later, or never */
       if
       :: write[e].sent && write[e].current ->
          abandoned[e].sent = 1; abandoned[e].current = 1;
          abandoned[e].value.nonce = write[e].value.nonce; abandoned[e].value.done = write[e].value.done
       :: !write[e].sent || !write[e].current -> skip
       fi;
       clear(write[e]);
       drop_cache();
#ifdef MUT_NO_READBACK
       if
       :: op == Reserve -> goto send
       :: op != Reserve -> goto access
       fi
#else
       goto access
#endif
     }
  fi;

down: /* submission.storeUnavailable */
  atomic {
    if
    :: op == Settle -> goto settled
#ifdef MUT_NOTRUN_STORE_DOWN
    :: op != Settle && !sent && !followed -> report_not_run(); result = No
    :: op != Settle && (sent || followed) -> result = Unclear
#else
    /* the caller waits for its first submission and has made no other */
    :: op != Settle && first && !sent && !followed && !resubmitted -> report_not_run(); result = No
    :: op != Settle && (!first || sent || followed || resubmitted) -> result = Unclear
#endif
    fi;
    goto answer
  };

send: /* submission.send */
  atomic {
    if
    :: voided = own; goto plan /* it was never sent and never will be */
    :: in_flight[own] = 1; sent = 1
    fi
  };

reply: /* submission.handleGateReply */
  if
  :: atomic { !in_flight[own] && gate[own] == Passed -> result = Yes; goto settle }
  :: atomic { !in_flight[own] && gate[own] == Sealed ->
       voided = own;
#ifdef MUT_NOTRUN_OVERTAKEN
       report_not_run(); result = No; goto answer
#else
       goto plan
#endif
     }
  :: atomic { true -> queried = own; goto ask } /* the link broke */
  fi;

follow: /* submission.handleRecord */
  atomic {
    followed = 1;
    queried = cache.nonce;
    if /* a nonce that no other process saw can be reused as a new one */
    :: own != NONE && own == nonces && !written -> nonces--; incarnation[own] = 0
    :: own == NONE || own != nonces || written -> skip
    fi;
    own = NONE;
#ifdef MUT_NO_SEAL
    voided = queried; goto plan;
#endif
    skip
  };

ask: /* submission.sealReservation and gate.Gate.Seal */
  if
  :: atomic { true -> /* no agent responds; it may have sealed nevertheless */
       if
       :: seal(queried)
       :: true -> skip
       fi;
#ifdef MUT_NOTRUN_UNREACHABLE
       report_not_run(); result = No;
#else
       result = Unclear;
#endif
       goto answer }
  :: atomic { true -> /* the incarnation that the reservation names responds */
       seal(queried);
       if
       :: gate[queried] == Sealed -> voided = queried; goto plan
       :: gate[queried] == Passed -> own = queried; result = Yes; goto settle
       :: gate[queried] == Passed -> result = Unclear; goto answer /* the reply is not available */
       fi }
  :: atomic { replaced && incarnation[queried] == 0 -> /* a newer incarnation responds */
#ifdef MUT_NEW_LIFE_SEALS
       voided = queried; goto plan
#else
       result = Unclear; goto answer
#endif
     }
  fi;

settle: /* submission.settle */
  atomic { op = Settle; fresh = 0; goto access };

settled:
  atomic { result = Yes };

answer:
  atomic {
    assert(result != Yes || executions == 1);
    own = 0; voided = 0; queried = 0; sent = 0; followed = 0; refused = 0; first = 0; written = 0;
    op = 0; result = 0;
    goto submit
  };

done:
  skip
}

init { atomic { run Entry(0, FIRST_SUBMISSIONS); run Entry(1, SECOND_SUBMISSIONS) } }
