/* The ladder of src/levels/ladder.cpp, two axes: pressure (levels 0 to 2) under a reading that swings as it likes, and
 * the faults of a group (levels 0 to 1), beside an operator who pins either. One step is one evaluation.
 *
 * What is checked:
 * - never two changes on an axis within APART steps;
 * - never stuck: once all has been well for long enough, with no pin, both axes are at normal;
 * - a pin never decides past its end;
 * - two faults, a lost primary and a silence in which nothing can be read: while it lasts the level is held;
 * - of the two axes the stricter decides what is shed.
 *
 * tests/ladder_model_test.cpp replays every short sequence of inputs through this machine's twin and the code. */
#define APART 3 /* least steps between two changes */
#define HOLD 1  /* steps for which a condition holds before it counts */
#define WELL 10 /* steps of calm after which everything has to be normal */
#define LONG 4  /* counters stop here: longer than anything that is waited for */

#define more(x) x = (x < LONG -> x + 1 : x)

/* axis 0 is pressure, axis 1 faults */
byte level[2], top[2], since[2], pin_to[2], pin_left[2], exits[2];
bool changed[2], pinned[2];
byte enters1[2], enters2[2];
byte input[2]; /* 0: the way out holds. 1: neither. 2: the entry of level 1. 3: of levels 1 and 2. 4: not to be read */
byte pin_age[2], before;
byte calm;
byte shed_pressure, shed_fault, shed;

inline move(a, to) {
  assert(!changed[a] || since[a] >= APART);
  level[a] = to;
  since[a] = 0;
  changed[a] = true;
  exits[a] = 0
}

inline evaluate(a) {
  before = level[a];
  more(since[a]);
  if
  :: input[a] == 2 || input[a] == 3 -> more(enters1[a])
  :: else -> enters1[a] = 0
  fi;
  if
  :: input[a] == 3 -> more(enters2[a])
  :: else -> enters2[a] = 0
  fi;
  if
  :: input[a] == 0 && level[a] > 0 -> more(exits[a])
  :: else -> exits[a] = 0
  fi;
  /* a pin that has come to its end is gone before it can decide anything */
  if
  :: pinned[a] && pin_left[a] == 0 -> pinned[a] = false
  :: pinned[a] && pin_left[a] > 0 -> pin_left[a]--; pin_age[a]++; assert(pin_age[a] <= 3)
  :: else
  fi;
  if
  :: changed[a] && since[a] < APART -> skip /* the bound holds for a pin as well */
  :: else ->
     if
     :: pinned[a] && pin_to[a] != level[a] -> move(a, pin_to[a])
     :: pinned[a] && pin_to[a] == level[a] -> skip
     :: !pinned[a] && ((enters1[a] > HOLD && level[a] < 1) || (enters2[a] > HOLD && level[a] < 2 && top[a] == 2)) ->
        move(a, level[a] + 1)
     :: !pinned[a] && !((enters1[a] > HOLD && level[a] < 1) || (enters2[a] > HOLD && level[a] < 2 && top[a] == 2)) &&
        exits[a] > HOLD ->
        move(a, level[a] - 1)
     :: else
     fi
  fi;
  assert(input[a] != 4 || pinned[a] || level[a] == before)
}

inline choose(a) {
  if
  :: input[a] = 0
  :: input[a] = 1
  :: input[a] = 2
  :: top[a] == 2 -> input[a] = 3
  :: a == 1 -> input[a] = 4
  fi;
  /* the operator: now and then, on the axis of pressure */
  if
  :: a == 0 && !pinned[a] -> pinned[a] = true; pin_left[a] = 3; pin_age[a] = 0;
     if
     :: pin_to[a] = 0
     :: pin_to[a] = top[a]
     fi
  :: skip
  fi
}

active proctype ladder() {
  top[0] = 2;
  top[1] = 1;
  do
  :: d_step { input[0] = 0; input[1] = 0 }
     /* either all is well from here on, for as long as it takes, or anything happens */
     if
     :: calm > 0 || (!pinned[0] && !pinned[1]) -> calm = (calm < WELL -> calm + 1 : calm)
     :: calm == 0 -> choose(0); choose(1)
     :: calm > 0 -> calm = 0; choose(0); choose(1)
     fi;
     evaluate(0);
     evaluate(1);
     /* what is shed of a class that both axes name */
     d_step {
       shed_pressure = level[0];
       shed_fault = (level[1] > 0 -> 2 : 0);
       shed = (shed_pressure > shed_fault -> shed_pressure : shed_fault);
     }
     assert(shed >= shed_pressure && shed >= shed_fault);
     assert(calm < WELL || (level[0] == 0 && level[1] == 0))
  od
}
