#ifndef WHINTACK_ESTIMATES_RUNTIMEESTIMATOR_H
#define WHINTACK_ESTIMATES_RUNTIMEESTIMATOR_H

namespace whintack::estimates {} // namespace whintack::estimates

#endif // WHINTACK_ESTIMATES_RUNTIMEESTIMATOR_H
