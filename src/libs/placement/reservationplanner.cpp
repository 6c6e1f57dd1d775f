#include "whintack/placement/reservationplanner.h"
