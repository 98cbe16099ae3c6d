/*
 * Orders to one engine: two processes that compete for the lease of orders, a lease
 * that lapses at any time though its holder goes on, orders that reach the agent
 * late, twice or never, and an agent that serves two orders at a time and is
 * restarted while a request to the engine is on its way. The engine is not
 * restarted.
 *
 * CHECKS says that the engine refuses an order with a lower number than it has
 * seen. docs/ORDERS.md names the function behind each step. check-orders.sh
 * explores both kinds of engine, and then each mutation (a macro MUT_...), which
 * must fail.
 */

#ifndef CHECKS
#define CHECKS 0
#endif
#ifndef TENURES
#define TENURES 2 /* in all */
#endif
#define NONE 0

/* The store: the number that the lease key has, and the highest given out. */
byte holder = NONE;
byte highest = NONE;

/* Tenures in their order, the number of each, and the one that stands. */
byte tenures = NONE;
byte number[TENURES + 1];
byte tenure = NONE;

/* The orders that holders sent, by their tenure: on their way to the agent. */
bit sent[TENURES + 1];

/* The agent: one life after another. */
byte floor = NONE;
bit turn; /* an order is between the reading of the lease and the engine's answer */
byte restarts;

/* A request on its way to the engine, of the agent's life or of an earlier one. */
byte request[3]; /* 0, 1: by serving process; 2: of a life that is over */

byte engine_floor = NONE;
byte latest = NONE; /* the latest tenure whose order took effect */
bit orphaned;       /* a request outlived the agent that sent it */

active [2] proctype Holder() {
  byte mine = NONE;
  do
  :: atomic { holder == NONE && tenures < TENURES ->
       tenures++;
#ifdef MUT_REUSED_NUMBER
       highest = 1;
#else
       highest++;
#endif
       holder = highest;
       tenure = tenures;
       number[tenure] = highest;
       mine = tenure
     }
  :: atomic { mine != NONE && !sent[mine] -> sent[mine] = 1 }
  :: tenures == TENURES && mine == NONE -> break
  od
}

active proctype Lapse() {
  do
  :: atomic { holder != NONE -> holder = NONE; tenure = NONE }
  :: tenures == TENURES && holder == NONE -> break
  od
}

/* Agent.passOrder, for any order that was sent, any number of times. */
active [2] proctype Serve() {
  byte order, seen, life;
  do
  :: atomic {
       if
       :: sent[1] -> order = 1
       :: sent[2] -> order = 2
       fi;
       life = restarts
     };
#ifndef MUT_NO_TURN
     atomic { !turn -> turn = 1 };
#endif
     atomic { /* Gate.Refuse, readHolder and Gate.Admit */
       if
       :: life != restarts || number[order] < floor -> goto refused
       :: else -> skip
       fi;
#ifdef MUT_NO_READ
       seen = number[order];
#else
       seen = holder;
#endif
       if
       :: seen > floor -> floor = seen
       :: else -> skip
       fi;
#ifndef MUT_NOBODY_HOLDS
       if
       :: seen == NONE -> goto refused
       :: else -> skip
       fi;
#endif
       if
       :: number[order] != floor -> goto refused
       :: else -> skip
       fi;
       /* Only the holder's order passes. */
       assert(order == tenure)
     };
     atomic {
       if
       :: life == restarts -> request[_pid - 3] = order
       :: else -> goto over
       fi
     };
     /* The engine answers, or the agent's life is over. */
     atomic { request[_pid - 3] == NONE || life != restarts ->
       if
       :: life != restarts -> goto over
       :: else -> skip
       fi
     };
refused:
     atomic {
       if
       :: life == restarts -> turn = 0
       :: else -> skip
       fi
     };
over: skip
  od
}

active proctype Restart() {
  do
  :: atomic { restarts < 1 ->
       restarts++;
       if
       :: request[0] != NONE -> request[2] = request[0]
       :: request[1] != NONE -> request[2] = request[1]
       :: else -> skip
       fi;
       orphaned = (request[2] != NONE);
       request[0] = NONE;
       request[1] = NONE;
       floor = NONE;
       turn = 0
     }
  :: restarts == 1 -> break
  od
}

active proctype Engine() {
  byte i;
  do
  :: atomic {
       if
       :: request[0] != NONE -> i = 0
       :: request[1] != NONE -> i = 1
       :: request[2] != NONE -> i = 2
       fi;
       if
       :: CHECKS && number[request[i]] < engine_floor -> skip
       :: else ->
          engine_floor = number[request[i]];
          /* No order takes effect after one of a later tenure. With an engine
             that ignores numbers this leaves one case: a request that outlives
             the agent that sent it. */
          assert(request[i] >= latest || (!CHECKS && orphaned));
          if
          :: request[i] > latest -> latest = request[i]
          :: else -> skip
          fi
       fi;
       request[i] = NONE
     }
  od
}
