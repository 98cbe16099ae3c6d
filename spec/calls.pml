/*
 * Calls that may not be repeated: one key, two entries that serve submissions of
 * it, two targets whose agents are replaced while the old life goes on, a store
 * that loses answers after the effect and before it and lets a write land late,
 * calls that reach an agent late or never, and pauses anywhere: every access of a
 * process to something shared interleaves with every other. Steps that touch
 * nothing shared are joined to the access before them.
 *
 * docs/CALLS.md names the function behind each step. check.sh explores the model
 * as it stands, and then with each mutation (a macro MUT_...), which must fail.
 */

#ifndef FIRST_SUBMISSIONS
#define FIRST_SUBMISSIONS 1 /* by entry 0 */
#endif
#ifndef SECOND_SUBMISSIONS
#define SECOND_SUBMISSIONS 1 /* by entry 1 */
#endif
#ifndef NONCES
#define NONCES 2 /* reservations in all */
#endif
#define NONE 0

mtype = { Unseen, Passed, Sealed }; /* a call that was passed counts as run */
mtype = { Lookup, Reserve, Release, Settle };
mtype = { Yes, No, Unclear };

typedef Record {
  byte nonce;  /* NONE: the page has no reservation */
  bit done
};

/* A compare-and-swap on its way to the store. It lands at any time or never. Only
   equality of versions matters, so instead of a number each write and each cached
   page carries whether the page is still the one it was made from. */
typedef Write {
  bit sent;
  bit answered; /* the entry may read the answer */
  bit swapped;
  bit current;  /* no other write has succeeded since */
  Record value
};

Record page;
Write write[2]; /* by entry */
Write stray[2]; /* a write whose entry gave it up */
bit current[2]; /* the page that the entry has cached is that of the store */

/* A reservation names a target and a life of its agent. Life 0 is replaced at some
   time and goes on; life 1 is the one that replaced it, or that of another target. */
byte nonces;
bit life[NONCES + 1];
bit replaced;

/* The gates: gate[n] is kept by the life that reservation n names. */
mtype gate[NONCES + 1] = Unseen;
bit in_flight[NONCES + 1]; /* the call is on its way to the gate */
byte ran;

/* What the properties need. */
bit committed[NONCES + 1]; /* the reservation stood on the page */
bit forbidden[NONCES + 1]; /* "not run" was said while it stood */
bit begun;                 /* there was a submission */
bit again;                 /* there was more than one */
byte k;

/* "Not run" is true: the key has not run, and nothing reserved so far will run. */
inline forbid() {
  assert(ran == 0);
  k = 1;
  do
  :: k <= NONCES && committed[k] -> forbidden[k] = 1; k++
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
     :: page.nonce == NONE -> forbid()
     :: page.nonce != NONE -> committed[page.nonce] = 1
     fi
  :: !w.current -> w.swapped = 0
  fi;
  w.sent = 0;
  w.answered = 1;
  /* a write that went astray before another succeeded has no effect any more */
  if
  :: w.swapped -> clear(stray[0]); clear(stray[1])
  :: !w.swapped -> skip
  fi
}

/* gate.Admit: the call reaches the gate that its reservation names. */
inline arrive(n) {
  in_flight[n] = 0;
  if
#ifdef MUT_PASS_SEALED
  :: true ->
#else
  :: gate[n] == Unseen ->
#endif
     gate[n] = Passed;
     ran++;
     assert(!forbidden[n]);
     assert(ran <= 1)
  /* the gate takes no new work, or the target accepts no connection */
  :: gate[n] == Unseen -> gate[n] = Sealed
#ifdef MUT_PASS_TWICE
  :: gate[n] == Unseen -> ran++; in_flight[n] = 1; assert(ran <= 1)
#endif
  :: gate[n] != Unseen -> skip
  fi
}

/* gate.Seal */
inline seal(n) {
  if
  :: gate[n] == Unseen -> gate[n] = Sealed;
#ifndef MUT_PASS_SEALED
     in_flight[n] = 0; /* its arrival changes nothing */
#endif
     skip
  :: gate[n] != Unseen -> skip
  fi
}

active proctype World() {
end:
  do
  :: atomic { write[0].sent -> land(write[0]) }
  :: atomic { write[1].sent -> land(write[1]) }
  :: atomic { stray[0].sent -> land(stray[0]); clear(stray[0]) }
  :: atomic { stray[1].sent -> land(stray[1]); clear(stray[1]) }
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

inline forget_cache() { cached = 0; fresh = 0; cache.nonce = 0; cache.done = 0; current[e] = 0 }

proctype Entry(bit e; byte quota) {
  byte mine, dead, asked;
  bit first, sent, followed, refuse;
  bit offered; /* a write with mine was issued */
  mtype op, told;
  Record cache;
  bit cached, fresh;

submit:
  atomic {
    if
    :: quota == 0 -> goto done
    :: quota > 0 -> quota--
    fi;
    first = !begun;
    again = begun;
    begun = 1;
    goto plan
  };

plan: /* submission.step */
  atomic {
    asked = NONE; mine = NONE; offered = 0;
    if
    :: refuse = 1 /* no target, or the deadline is too near */
    :: !refuse && nonces < NONCES -> nonces++; mine = nonces;
       if
       :: life[mine] = 0 /* also after it was replaced: over a link of before */
       :: life[mine] = 1
       fi
    fi;
    if
    :: refuse && dead == NONE -> op = Lookup
    :: refuse && dead != NONE -> op = Release
    :: !refuse -> op = Reserve
    fi;
#ifdef MUT_SEND_FIRST
    if
    :: op == Reserve -> in_flight[mine] = 1
    :: op != Reserve -> skip
    fi;
#endif
    fresh = 0
  };

access: /* pager.attempt */
  if
  :: atomic { !cached ->
       cache.nonce = page.nonce; cache.done = page.done;
       current[e] = 1; cached = 1; fresh = 1;
       /* the answer to this read is "not run" */
       if
       :: page.nonce == NONE && (op == Lookup || op == Release) -> forbid()
       :: page.nonce != NONE || (op != Lookup && op != Release) -> skip
       fi;
       goto apply }
  :: atomic { !cached -> goto down } /* no answer, and patience is over */
  :: atomic { cached -> goto apply }
  fi;

apply: /* Page.Apply */
  atomic {
    if
    :: op == Settle && cache.nonce == mine && !cache.done ->
       goto issue
    :: op == Reserve && !cache.done && (cache.nonce == NONE || (dead != NONE && cache.nonce == dead)) ->
       goto issue
    :: op == Release && cache.nonce == dead && !cache.done ->
       goto issue
    :: op == Settle && (cache.nonce != mine || cache.done) -> goto settled
    :: else -> skip
    fi;
#ifndef MUT_STALE_ABSENT
    /* nothing to write: only a page that was read for this batch is believed */
    if
    :: !fresh && !cache.done -> forget_cache(); goto access
    :: fresh || cache.done -> skip
    fi;
#endif
    if
    :: op == Reserve && cache.nonce == mine && !cache.done -> goto send
    :: cache.nonce == NONE ->
#ifdef MUT_STALE_ABSENT
       forbid();
#endif
       told = No; goto answer
    :: cache.done -> told = Yes; goto answer
    :: cache.nonce != NONE && !cache.done && !(op == Reserve && cache.nonce == mine) -> goto follow
    fi
  };

issue: /* pager.write */
  atomic {
    offered = 1;
    write[e].sent = 1;
    write[e].current = current[e];
    write[e].value.nonce = (op == Release -> NONE : mine);
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
       :: op == Release -> told = No; goto answer
       :: op == Settle -> goto settled
       fi }
  :: atomic { write[e].answered && !write[e].swapped -> /* a conflict brings the page */
       clear(write[e]);
       forget_cache();
       goto access }
  :: atomic { true -> /* no answer: the write landed, lands later, or never */
       if
       :: write[e].sent && write[e].current ->
          stray[e].sent = 1; stray[e].current = 1;
          stray[e].value.nonce = write[e].value.nonce; stray[e].value.done = write[e].value.done
       :: !write[e].sent || !write[e].current -> skip
       fi;
       clear(write[e]);
       forget_cache();
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

down: /* submission.withoutStore */
  atomic {
    if
    :: op == Settle -> goto settled
#ifdef MUT_NOTRUN_STORE_DOWN
    :: op != Settle && !sent && !followed -> forbid(); told = No
    :: op != Settle && (sent || followed) -> told = Unclear
#else
    /* the caller waits for its first submission and made no other */
    :: op != Settle && first && !sent && !followed && !again -> forbid(); told = No
    :: op != Settle && (!first || sent || followed || again) -> told = Unclear
#endif
    fi;
    goto answer
  };

send: /* submission.send */
  atomic {
    if
    :: dead = mine; goto plan /* it was never sent, and is not any more */
    :: in_flight[mine] = 1; sent = 1
    fi
  };

reply: /* submission.heard */
  if
  :: atomic { !in_flight[mine] && gate[mine] == Passed -> told = Yes; goto settle }
  :: atomic { !in_flight[mine] && gate[mine] == Sealed ->
       dead = mine;
#ifdef MUT_NOTRUN_OVERTAKEN
       forbid(); told = No; goto answer
#else
       goto plan
#endif
     }
  :: atomic { true -> asked = mine; goto ask } /* the link broke */
  fi;

follow: /* submission.follow */
  atomic {
    followed = 1;
    asked = cache.nonce;
    if /* a nonce that nobody saw is as good as a fresh one */
    :: mine != NONE && mine == nonces && !offered -> nonces--; life[mine] = 0
    :: mine == NONE || mine != nonces || offered -> skip
    fi;
    mine = NONE;
#ifdef MUT_NO_SEAL
    dead = asked; goto plan;
#endif
    skip
  };

ask: /* submission.ask and gate.Seal */
  if
  :: atomic { true -> /* no agent answers; it may have sealed all the same */
       if
       :: seal(asked)
       :: true -> skip
       fi;
#ifdef MUT_NOTRUN_UNREACHABLE
       forbid(); told = No;
#else
       told = Unclear;
#endif
       goto answer }
  :: atomic { true -> /* the life that the reservation names answers */
       seal(asked);
       if
       :: gate[asked] == Sealed -> dead = asked; goto plan
       :: gate[asked] == Passed -> mine = asked; told = Yes; goto settle
       :: gate[asked] == Passed -> told = Unclear; goto answer /* no reply */
       fi }
  :: atomic { replaced && life[asked] == 0 -> /* a newer life answers */
#ifdef MUT_NEW_LIFE_SEALS
       dead = asked; goto plan
#else
       told = Unclear; goto answer
#endif
     }
  fi;

settle: /* submission.settle */
  atomic { op = Settle; fresh = 0; goto access };

settled:
  atomic { told = Yes };

answer:
  atomic {
    assert(told != Yes || ran == 1);
    mine = 0; dead = 0; asked = 0; sent = 0; followed = 0; refuse = 0; first = 0; offered = 0;
    op = 0; told = 0;
    goto submit
  };

done:
  skip
}

init { atomic { run Entry(0, FIRST_SUBMISSIONS); run Entry(1, SECOND_SUBMISSIONS) } }
