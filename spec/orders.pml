/*
 * Orders to one engine. Two processes compete for the lease of orders. The lease may
 * expire at any time while its holder still runs. Orders reach the agent late, twice
 * or never. The agent serves two orders at a time and may be restarted while a request
 * to the engine is in flight. The engine is not restarted.
 *
 * CHECKS means that the engine refuses an order whose fencing token is lower than one
 * that it has seen. docs/ORDERS.md lists the function that each step models.
 * check-orders.sh explores both kinds of engine, and then each mutation (a macro
 * MUT_...), which must violate a property.
 */

#ifndef CHECKS
#define CHECKS 0
#endif
#ifndef TENURES
#define TENURES 2 /* in total */
#endif
#define NONE 0

/* The store: the fencing token of the lease key, and the highest one issued. */
byte lease_token = NONE;
byte highest_token = NONE;

/* A tenure is one period in which a process holds the lease: how many there were so
   far, the fencing token of each, and the current one. */
byte tenure_count = NONE;
byte token[TENURES + 1];
byte current_tenure = NONE;

/* The orders that holders have sent to the agent, by tenure. */
bit sent[TENURES + 1];

/* The agent: one incarnation after another. */
byte floor = NONE;
bit turn; /* held by an order from the read of the lease to the engine's response */
byte restarts;

/* The tenures of requests in flight to the engine, sent by the current or an earlier
   incarnation of the agent. */
byte request[3]; /* 0, 1: by serving process; 2: from an earlier incarnation */

byte engine_floor = NONE;
byte latest_tenure = NONE; /* the latest tenure whose order took effect */
bit orphaned;              /* a request outlived the agent that sent it */

active [2] proctype Holder() {
  byte own = NONE;
  do
  :: atomic { lease_token == NONE && tenure_count < TENURES ->
       tenure_count++;
#ifdef MUT_REUSED_NUMBER
       highest_token = 1;
#else
       highest_token++;
#endif
       lease_token = highest_token;
       current_tenure = tenure_count;
       token[current_tenure] = highest_token;
       own = current_tenure
     }
  :: atomic { own != NONE && !sent[own] -> sent[own] = 1 }
  :: tenure_count == TENURES && own == NONE -> break
  od
}

active proctype LeaseExpiry() {
  do
  :: atomic { lease_token != NONE -> lease_token = NONE; current_tenure = NONE }
  :: tenure_count == TENURES && lease_token == NONE -> break
  od
}

/* agent.Agent.executeOrder, for any order that was sent, any number of times. */
active [2] proctype Serve() {
  byte order, lease_seen, incarnation;
  do
  :: atomic {
       if
       :: sent[1] -> order = 1
       :: sent[2] -> order = 2
       fi;
       incarnation = restarts
     };
#ifndef MUT_NO_TURN
     atomic { !turn -> turn = 1 };
#endif
     atomic { /* FenceChecker.RejectStale, Agent.readLeaseHolder and FenceChecker.CheckHolder */
       if
       :: incarnation != restarts || token[order] < floor -> goto refused
       :: else -> skip
       fi;
#ifdef MUT_NO_READ
       lease_seen = token[order];
#else
       lease_seen = lease_token;
#endif
       if
       :: lease_seen > floor -> floor = lease_seen
       :: else -> skip
       fi;
#ifndef MUT_NOBODY_HOLDS
       if
       :: lease_seen == NONE -> goto refused
       :: else -> skip
       fi;
#endif
       if
       :: token[order] != floor -> goto refused
       :: else -> skip
       fi;
       /* Only an order of the current holder passes. */
       assert(order == current_tenure)
     };
     atomic {
       if
       :: incarnation == restarts -> request[_pid - 3] = order
       :: else -> goto over
       fi
     };
     /* The engine responds, or the agent has been restarted. */
     atomic { request[_pid - 3] == NONE || incarnation != restarts ->
       if
       :: incarnation != restarts -> goto over
       :: else -> skip
       fi
     };
refused:
     atomic {
       if
       :: incarnation == restarts -> turn = 0
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
       :: CHECKS && token[request[i]] < engine_floor -> skip
       :: else ->
          engine_floor = token[request[i]];
          /* No order takes effect after one of a later tenure. An engine that
             ignores fencing tokens leaves one exception: a request that
             outlives the agent that sent it. */
          assert(request[i] >= latest_tenure || (!CHECKS && orphaned));
          if
          :: request[i] > latest_tenure -> latest_tenure = request[i]
          :: else -> skip
          fi
       fi;
       request[i] = NONE
     }
  od
}
