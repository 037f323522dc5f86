/* Model of the ladder in src/levels/ladder.cpp with two axes: pressure (levels 0 to 2) under an arbitrary
 * reading, and the faults of a group (levels 0 and 1), with an operator who may pin the pressure level. One
 * step is one evaluation.
 *
 * Properties checked:
 * - two changes on an axis are at least MIN_CHANGE_INTERVAL steps apart;
 * - no axis gets stuck: after CALM_LIMIT calm steps without a pin, both axes are at the normal level;
 * - a pin has no effect after its end;
 * - while no reading is usable, a level that is not pinned is held, also if the primary is lost at the same
 *   time;
 * - of the two axes, the stricter one decides how much is shed.
 *
 * tests/ladder_model_test.cpp compares the C++ code with a copy of this model over every short sequence of
 * inputs. */
#define MIN_CHANGE_INTERVAL 3 /* minimum steps between two changes */
#define HOLD_TIME 1           /* steps for which a condition has to hold before it counts */
#define CALM_LIMIT 10         /* calm steps after which both axes have to be at the normal level */
#define COUNTER_LIMIT 4       /* counters saturate here, above every value that they are compared with */

#define increment(counter) counter = (counter < COUNTER_LIMIT -> counter + 1 : counter)

/* Arrays are indexed by axis: 0 is pressure, 1 is faults. */
byte level[2], max_level[2], since_change[2], pin_level[2], pin_remaining[2], exit_steps[2];
bool has_changed[2], pinned[2];
byte enter1_steps[2], enter2_steps[2];
/* 0: the exit condition holds. 1: no condition holds. 2: the entry condition of level 1 holds. 3: the entry
 * conditions of levels 1 and 2 hold. 4: the reading is unusable. */
byte input[2];
byte pin_age[2], previous_level;
byte calm_steps;
byte shed_by_pressure, shed_by_fault, shed;

inline move(axis, to) {
  assert(!has_changed[axis] || since_change[axis] >= MIN_CHANGE_INTERVAL);
  level[axis] = to;
  since_change[axis] = 0;
  has_changed[axis] = true;
  exit_steps[axis] = 0
}

inline evaluate(axis) {
  previous_level = level[axis];
  increment(since_change[axis]);
  if
  :: input[axis] == 2 || input[axis] == 3 -> increment(enter1_steps[axis])
  :: else -> enter1_steps[axis] = 0
  fi;
  if
  :: input[axis] == 3 -> increment(enter2_steps[axis])
  :: else -> enter2_steps[axis] = 0
  fi;
  if
  :: input[axis] == 0 && level[axis] > 0 -> increment(exit_steps[axis])
  :: else -> exit_steps[axis] = 0
  fi;
  /* A pin that has ended is removed before it can decide anything. */
  if
  :: pinned[axis] && pin_remaining[axis] == 0 -> pinned[axis] = false
  :: pinned[axis] && pin_remaining[axis] > 0 ->
     pin_remaining[axis]--;
     pin_age[axis]++;
     assert(pin_age[axis] <= 3)
  :: else
  fi;
  if
  :: has_changed[axis] && since_change[axis] < MIN_CHANGE_INTERVAL -> skip /* applies to pins as well */
  :: else ->
     if
     :: pinned[axis] && pin_level[axis] != level[axis] -> move(axis, pin_level[axis])
     :: pinned[axis] && pin_level[axis] == level[axis] -> skip
     :: !pinned[axis] && ((enter1_steps[axis] > HOLD_TIME && level[axis] < 1) ||
                          (enter2_steps[axis] > HOLD_TIME && level[axis] < 2 && max_level[axis] == 2)) ->
        move(axis, level[axis] + 1)
     :: !pinned[axis] && !((enter1_steps[axis] > HOLD_TIME && level[axis] < 1) ||
                           (enter2_steps[axis] > HOLD_TIME && level[axis] < 2 && max_level[axis] == 2)) &&
        exit_steps[axis] > HOLD_TIME ->
        move(axis, level[axis] - 1)
     :: else
     fi
  fi;
  assert(input[axis] != 4 || pinned[axis] || level[axis] == previous_level)
}

inline choose_input(axis) {
  if
  :: input[axis] = 0
  :: input[axis] = 1
  :: input[axis] = 2
  :: max_level[axis] == 2 -> input[axis] = 3
  :: axis == 1 -> input[axis] = 4
  fi;
  /* The operator may pin the pressure level. */
  if
  :: axis == 0 && !pinned[axis] -> pinned[axis] = true; pin_remaining[axis] = 3; pin_age[axis] = 0;
     if
     :: pin_level[axis] = 0
     :: pin_level[axis] = max_level[axis]
     fi
  :: skip
  fi
}

active proctype ladder() {
  max_level[0] = 2;
  max_level[1] = 1;
  do
  :: d_step { input[0] = 0; input[1] = 0 }
     /* Either a calm period begins or continues, or any input occurs. */
     if
     :: calm_steps > 0 || (!pinned[0] && !pinned[1]) ->
        calm_steps = (calm_steps < CALM_LIMIT -> calm_steps + 1 : calm_steps)
     :: calm_steps == 0 -> choose_input(0); choose_input(1)
     :: calm_steps > 0 -> calm_steps = 0; choose_input(0); choose_input(1)
     fi;
     evaluate(0);
     evaluate(1);
     /* How much is shed of a class that both axes shed. */
     d_step {
       shed_by_pressure = level[0];
       shed_by_fault = (level[1] > 0 -> 2 : 0);
       shed = (shed_by_pressure > shed_by_fault -> shed_by_pressure : shed_by_fault);
     }
     assert(shed >= shed_by_pressure && shed >= shed_by_fault);
     assert(calm_steps < CALM_LIMIT || (level[0] == 0 && level[1] == 0))
  od
}
