/* Ownership, write-ahead placements, state levels and nodes that come back with an older build
 * (docs/safety.md, "State levels"). One shard, one task, two machines, three nodes, one state
 * service whose commits are atomic and guarded by stamps.
 *
 * Builds: LEGACY knows no levels: it registers and takes over as it always did, and of a placement
 * it reads only the part that level 0 has. AWARE knows levels and reads level 0 only. NEW reads and
 * writes levels 0 and 1.
 *
 * Every property is an assert. Each of these macros removes a guard, and is found
 * (model/check.sh, a test each):
 *   NO_NODE_GUARD    a raise does not name the node keys' stamps
 *   NO_LEVEL_GUARD   a registration does not name the level record's stamp
 *   NO_FENCE         a build serves whatever level is active
 *   HIDDEN_FORM      level 1 keeps placements where level 0 does not read them
 *   NO_OWNER_GUARD   a placement is committed without the owner's stamp
 *   NO_WRITE_AHEAD   a start is sent before its placement is committed
 *   EARLY_RELEASE    a placement is given up before its machine has shown the owner's token
 */
#define N 3
#define NOBODY 3
#define LEGACY 0
#define AWARE 1
#define NEW 2
#define READS1(b) ((b) == NEW)

/* ---- the state service */
byte level = 0;       /* the active level; also the record's stamp, since it only rises */
byte key[N];          /* node keys: 0, or the stamp */
byte key_build[N];
byte stamps = 0;      /* of node keys: each registration has a new one */
byte owner = NOBODY;
byte token = 0;       /* the owner key's stamp */
bool placed[2];       /* a placement on the machine, as level 0 keeps it */
bool placed1[2];      /* the same, where only level 1 reads it (HIDDEN_FORM) */

/* A raise that was sent and may be applied at any later time. */
bool raise_out = false;
byte raise_key[N];

/* ---- machines: the highest token seen, whether the task runs there */
byte seen[2];
bool runs[2];
byte start_out[2];    /* starts that are on their way, a bit for each token */

/* ---- nodes */
byte build[N];
byte restarts = 0, losses = 0;

inline drop() {
  mine = 0;
  has[0] = false; has[1] = false; told[0] = false; told[1] = false
}

inline check_one() {
  /* ran_twice: "a task enters the chain only when no recorded placement of it is left". */
  assert(!(runs[0] && runs[1]));
}

inline forget_raise() {
  raise_key[0] = 0; raise_key[1] = 0; raise_key[2] = 0
}

inline raise_now() {
  /* "It is raised only when every node is registered and can do it." */
  byte r;
  r = 0;
  do
  :: r < N -> assert(key[r] != 0 && READS1(key_build[r])); r++
  :: else -> break
  od;
  level = 1;
  r = 0;
}

/* The held raise arrives: applied if its guards hold. */
active proctype Network() {
  byte m, t;
end:
  do
  :: atomic { raise_out ->
       raise_out = false;
       if
#ifdef NO_NODE_GUARD
       :: level == 0 -> raise_now()
#else
       :: level == 0 && key[0] == raise_key[0] && key[1] == raise_key[1] && key[2] == raise_key[2] ->
            raise_now()
#endif
       :: else -> skip
       fi;
       forget_raise() }
  :: atomic { raise_out -> raise_out = false; forget_raise() }   /* lost */
  :: atomic { start_out[0] != 0 || start_out[1] != 0 ->   /* a start arrives: late, perhaps */
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
  :: atomic { losses < 1 && runs[0] -> runs[0] = false; losses++ }   /* its session ends */
  od
}

proctype Node(byte me) {
  byte knows = 0;       /* the level, as last read */
  byte mine = 0;        /* the token under which this process acts; 0: it owns nothing */
  bool has[2];          /* placements, as its desk knows them */
  bool told[2];         /* a start of its own is on its way or was carried out */
  byte m;

end:
  do
  /* It ends. Its key stays until its hold does, and it comes back with any build. */
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
  /* Its hold ends while it goes on: it is cut off, or stood still. */
  :: atomic { restarts < 2 && key[me] != 0 -> restarts++; key[me] = 0; key_build[me] = 0 }
  /* It reads. */
  :: atomic { knows != level -> knows = level;
#ifndef NO_FENCE
       if
       :: build[me] == AWARE && knows == 1 -> drop()   /* serves nothing any more */
       :: else -> skip
       fi
#endif
     }
  /* It registers. */
  :: atomic { key[me] == 0 && stamps < 5 &&
#ifdef NO_FENCE
       true ->
#else
       (build[me] != AWARE || knows == 0) ->
#endif
       if
#ifdef NO_LEVEL_GUARD
       :: true ->
#else
       :: build[me] == LEGACY || knows == level ->
#endif
            stamps++; key[me] = stamps; key_build[me] = build[me];
            /* "a build is registered only beside state that it can read"; LEGACY cannot be kept
             * out, so that no form may change that it relies on */
            assert(build[me] != AWARE || level == 0)
       :: else -> skip
       fi }
  /* It raises: now, or by a commit that is held. */
  :: atomic { build[me] == NEW && knows == 0 && level == 0 && !raise_out &&
              key[0] != 0 && READS1(key_build[0]) && key[1] != 0 && READS1(key_build[1]) &&
              key[2] != 0 && READS1(key_build[2]) ->
       raise_out = true;
       raise_key[0] = key[0]; raise_key[1] = key[1]; raise_key[2] = key[2] }
  /* It takes over a shard of nobody, or of one that is gone, or its own from before. */
  :: atomic { mine == 0 && key[me] != 0 && token < 3 &&
#ifndef NO_FENCE
              (build[me] != AWARE || (knows == 0 && level == 0)) &&
#endif
              (owner == NOBODY || owner == me || key[owner] == 0) ->
       token++; owner = me; mine = token;
       /* It has read everything up to its own commit. */
       has[0] = placed[0]; has[1] = placed[1];
       if
       :: READS1(build[me]) -> has[0] = has[0] || placed1[0]; has[1] = has[1] || placed1[1]
       :: else -> skip
       fi;
       assert(build[me] != AWARE || level == 0) }
  /* It places the task: committed first, and sent afterwards. */
  :: atomic { mine != 0 && !has[0] && !has[1] ->
       if
       :: m = 0
       /* The machines are alike: the second one is not the first to be used. */
       :: seen[0] != 0 || start_out[0] != 0 || placed[0] || placed1[0] -> m = 1
       fi;
#ifdef NO_WRITE_AHEAD
       start_out[m] = start_out[m] | (1 << mine); has[m] = true; told[m] = true
#else
       if
#ifdef NO_OWNER_GUARD
       :: true ->
#else
       :: token == mine ->
#endif
            has[m] = true;
            if
#ifdef HIDDEN_FORM
            :: level == 1 && build[me] == NEW -> placed1[m] = true
#endif
            :: else -> placed[m] = true
            fi
       :: else -> drop()   /* replaced */
       fi
#endif
       ;
       m = 0 }
  :: atomic { mine != 0 && has[0] && !told[0] ->
       start_out[0] = start_out[0] | (1 << mine); told[0] = true }
  :: atomic { mine != 0 && has[1] && !told[1] ->
       start_out[1] = start_out[1] | (1 << mine); told[1] = true }
  /* A report: the machine shows its token and what is there. What is proven gone is released. */
  :: atomic { mine != 0 && (has[0] || has[1]) ->
       if
       :: has[0] -> m = 0
       :: has[1] -> m = 1
       fi;
       if
       :: mine >= seen[m] ->
#ifndef EARLY_RELEASE
            seen[m] = mine;
            /* A start under this token that is on its way proves nothing yet. */
            if
            :: !runs[m] && !(start_out[m] & (1 << mine)) ->
#else
            if
            :: !runs[m] ->
#endif
                 if
                 :: token == mine ->
                      has[m] = false; told[m] = false; placed[m] = false; placed1[m] = false
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
    /* In the middle of a rollout: all are registered, one still has the build from before. */
    build[0] = LEGACY; build[1] = NEW; build[2] = NEW;
    key[0] = 1; key[1] = 2; key[2] = 3; stamps = 3;
    key_build[0] = LEGACY; key_build[1] = NEW; key_build[2] = NEW;
    run Node(0); run Node(1); run Node(2)
  }
}
