#include "whintack/estimates/runtimeestimator.h"
