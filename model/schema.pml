/* Model of shard leadership, write-ahead placements, schema versions and nodes that restart with an
 * older build (docs/safety.md, "State levels"). It has one shard, one task, two machines, three nodes
 * and one state service, whose commits are atomic and conditional on the revisions of keys.
 *
 * Builds: LEGACY knows no versions: it registers and takes over without version checks, and reads
 * only the part of a placement that version 0 has. AWARE knows versions but reads version 0 only.
 * NEW reads and writes versions 0 and 1.
 *
 * Every property is an assert. Each of these macros removes a safeguard; a test for each
 * (model/check.sh) requires that spin finds the resulting fault:
 *   NO_NODE_PRECONDITION     an upgrade is not conditional on the node keys' revisions
 *   NO_VERSION_PRECONDITION  a registration is not conditional on the version record's revision
 *   NO_FENCE                 a build serves without checking that it can read the active version
 *   HIDDEN_FORM              version 1 keeps placements where version 0 does not read them
 *   NO_LEADER_PRECONDITION   a placement is committed without the leader key's revision
 *   NO_WRITE_AHEAD           a start is sent before its placement is committed
 *   EARLY_RELEASE            a placement is released before its machine has reported the leader's token
 */
#define N 3
#define NOBODY 3
#define LEGACY 0
#define AWARE 1
#define NEW 2
#define READS_V1(b) ((b) == NEW)

/* ---- the state service */
byte version = 0;       /* the active version; also its record's revision, since it only increases */
byte key[N];          /* revisions of the node keys; 0: the node is not registered */
byte key_build[N];
byte revisions = 0;      /* the last revision of a node key; each registration gets a new one */
byte leader = NOBODY;
byte token = 0;       /* the leader key's revision */
bool placed[2];       /* by machine: a placement is stored in the format of version 0 */
bool placed_v1[2];      /* by machine: a placement is stored where only version 1 reads it (HIDDEN_FORM) */

/* A commit of an upgrade that was sent and may be applied at any later time. */
bool upgrade_in_flight = false;
byte upgrade_key[N];

/* ---- machines: the highest token seen, and whether the task runs on the machine */
byte seen[2];
bool runs[2];
byte start_out[2];    /* start commands in flight, one bit for each token */

/* ---- nodes */
byte build[N];
byte restarts = 0, losses = 0;

inline drop() {
  mine = 0;
  has[0] = false; has[1] = false; started[0] = false; started[1] = false
}

inline check_one() {
  /* A task must not run on two machines: "a task enters the chain only when no recorded placement of
   * it is left" (fault ran_twice). */
  assert(!(runs[0] && runs[1]));
}

inline forget_upgrade() {
  upgrade_key[0] = 0; upgrade_key[1] = 0; upgrade_key[2] = 0
}

inline upgrade_now() {
  /* "It is raised only when every node is registered and can do it.": all builds read version 1. */
  byte r;
  r = 0;
  do
  :: r < N -> assert(key[r] != 0 && READS_V1(key_build[r])); r++
  :: else -> break
  od;
  version = 1;
  r = 0;
}

/* Messages in flight: a delayed upgrade, applied if its preconditions hold, and start commands. */
active proctype Network() {
  byte m, t;
end:
  do
  :: atomic { upgrade_in_flight ->
       upgrade_in_flight = false;
       if
#ifdef NO_NODE_PRECONDITION
       :: version == 0 -> upgrade_now()
#else
       :: version == 0 && key[0] == upgrade_key[0] && key[1] == upgrade_key[1] && key[2] == upgrade_key[2] ->
            upgrade_now()
#endif
       :: else -> skip
       fi;
       forget_upgrade() }
  :: atomic { upgrade_in_flight -> upgrade_in_flight = false; forget_upgrade() }   /* the commit is lost */
  :: atomic { start_out[0] != 0 || start_out[1] != 0 ->   /* a start command arrives, perhaps late */
       if
       :: start_out[0] != 0 -> m = 0
       :: start_out[1] != 0 -> m = 1
       fi;
       if
       :: start_out[m] & 2 -> t = 1
       :: start_out[m] & 4 -> t = 2
       :: start_out[m] & 8 -> t = 3
       fi;
       start_out[m] = start_out[m] & ~(1 << t);
       if
       :: t >= seen[m] -> seen[m] = t; runs[m] = true; check_one()
       :: else -> skip
       fi;
       m = 0; t = 0 }
  :: atomic { losses < 1 && runs[0] -> runs[0] = false; losses++ }   /* the machine's incarnation ends, and its task with it */
  od
}

proctype Node(byte me) {
  byte knows = 0;       /* the active version that the node last read */
  byte mine = 0;        /* the token under which this process leads the shard; 0: it does not lead */
  bool has[2];          /* by machine: a placement that its scheduler knows */
  bool started[2];         /* by machine: this process has sent a start command */
  byte m;

end:
  do
  /* The process ends and restarts with any build. Its key may exist until its lease ends. */
  :: atomic { restarts < 2 ->
       restarts++;
       drop(); knows = 0;
       if
       :: build[me] = LEGACY
       :: build[me] = AWARE
       :: build[me] = NEW
       fi;
       if
       :: key[me] = 0; key_build[me] = 0
       :: skip
       fi }
  /* The lease ends while the process continues: it was cut off or suspended. */
  :: atomic { restarts < 2 && key[me] != 0 -> restarts++; key[me] = 0; key_build[me] = 0 }
  /* The node reads the active version. */
  :: atomic { knows != version -> knows = version;
#ifndef NO_FENCE
       if
       :: build[me] == AWARE && knows == 1 -> drop()   /* stops serving */
       :: else -> skip
       fi
#endif
     }
  /* The node registers. */
  :: atomic { key[me] == 0 && revisions < 5 &&
#ifdef NO_FENCE
       true ->
#else
       (build[me] != AWARE || knows == 0) ->
#endif
       if
#ifdef NO_VERSION_PRECONDITION
       :: true ->
#else
       :: build[me] == LEGACY || knows == version ->
#endif
            revisions++; key[me] = revisions; key_build[me] = build[me];
            /* "a build is registered only beside state that it can read". LEGACY cannot be prevented
             * from registering, so no format that it relies on may change. */
            assert(build[me] != AWARE || version == 0)
       :: else -> skip
       fi }
  /* The node sends an upgrade, whose commit may be delayed. */
  :: atomic { build[me] == NEW && knows == 0 && version == 0 && !upgrade_in_flight &&
              key[0] != 0 && READS_V1(key_build[0]) && key[1] != 0 && READS_V1(key_build[1]) &&
              key[2] != 0 && READS_V1(key_build[2]) ->
       upgrade_in_flight = true;
       upgrade_key[0] = key[0]; upgrade_key[1] = key[1]; upgrade_key[2] = key[2] }
  /* The node takes a shard without a leader, of an absent leader, or of its own earlier process. */
  :: atomic { mine == 0 && key[me] != 0 && token < 3 &&
#ifndef NO_FENCE
              (build[me] != AWARE || (knows == 0 && version == 0)) &&
#endif
              (leader == NOBODY || leader == me || key[leader] == 0) ->
       token++; leader = me; mine = token;
       /* The node has read all commits before its own. */
       has[0] = placed[0]; has[1] = placed[1];
       if
       :: READS_V1(build[me]) -> has[0] = has[0] || placed_v1[0]; has[1] = has[1] || placed_v1[1]
       :: else -> skip
       fi;
       assert(build[me] != AWARE || version == 0) }
  /* The leader places the task: the placement is committed before the start command is sent. */
  :: atomic { mine != 0 && !has[0] && !has[1] ->
       if
       :: m = 0
       /* Reduces the state space: the machines are identical, so machine 0 is used first. */
       :: seen[0] != 0 || start_out[0] != 0 || placed[0] || placed_v1[0] -> m = 1
       fi;
#ifdef NO_WRITE_AHEAD
       start_out[m] = start_out[m] | (1 << mine); has[m] = true; started[m] = true
#else
       if
#ifdef NO_LEADER_PRECONDITION
       :: true ->
#else
       :: token == mine ->
#endif
            has[m] = true;
            if
#ifdef HIDDEN_FORM
            :: version == 1 && build[me] == NEW -> placed_v1[m] = true
#endif
            :: else -> placed[m] = true
            fi
       :: else -> drop()   /* another node leads the shard */
       fi
#endif
       ;
       m = 0 }
  :: atomic { mine != 0 && has[0] && !started[0] ->
       start_out[0] = start_out[0] | (1 << mine); started[0] = true }
  :: atomic { mine != 0 && has[1] && !started[1] ->
       start_out[1] = start_out[1] | (1 << mine); started[1] = true }
  /* A heartbeat: the machine reports its token and whether the task runs. The leader releases a
   * placement whose attempt is proven to have ended. */
  :: atomic { mine != 0 && (has[0] || has[1]) ->
       if
       :: has[0] -> m = 0
       :: has[1] -> m = 1
       fi;
       if
       :: mine >= seen[m] ->
#ifndef EARLY_RELEASE
            seen[m] = mine;
            /* While a start command of this token is in flight, the absence of the task proves nothing. */
            if
            :: !runs[m] && !(start_out[m] & (1 << mine)) ->
#else
            if
            :: !runs[m] ->
#endif
                 if
                 :: token == mine ->
                      has[m] = false; started[m] = false; placed[m] = false; placed_v1[m] = false
                 :: else -> drop()
                 fi
            :: else -> skip
            fi
       :: else -> drop()
       fi;
       m = 0 }
  od
}

init {
  atomic {
    /* The middle of a rollout: all nodes are registered, and one still has the old build. */
    build[0] = LEGACY; build[1] = NEW; build[2] = NEW;
    key[0] = 1; key[1] = 2; key[2] = 3; revisions = 3;
    key_build[0] = LEGACY; key_build[1] = NEW; key_build[2] = NEW;
    run Node(0); run Node(1); run Node(2)
  }
}
