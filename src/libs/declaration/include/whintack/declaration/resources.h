#ifndef WHINTACK_DECLARATION_RESOURCES_H
#define WHINTACK_DECLARATION_RESOURCES_H

#include "whintack/base/computeresources.h"

#include <cstdint>

namespace whintack {

/// Amounts of resources, either available on a worker or required by a task.
struct Resources {
  /// Processor time, in thousandths of a core.
  int64_t MilliCores = 0;
  /// Memory, in mebibytes.
  int64_t MemoryMb = 0;
  /// Number of accelerators; only whole ones can be requested.
  int64_t Accelerators = 0;

  /// Returns whether \p Required fits into these resources.
  bool covers(const Resources &Required) const {
    return Required.MilliCores <= this->MilliCores &&
           Required.MemoryMb <= this->MemoryMb &&
           Required.Accelerators <= this->Accelerators;
  }

  Resources &operator+=(const Resources &Other) {
    this->MilliCores += Other.MilliCores;
    this->MemoryMb += Other.MemoryMb;
    this->Accelerators += Other.Accelerators;
    return *this;
  }

  Resources &operator-=(const Resources &Other) {
    this->MilliCores -= Other.MilliCores;
    this->MemoryMb -= Other.MemoryMb;
    this->Accelerators -= Other.Accelerators;
    return *this;
  }

  bool operator==(const Resources &) const = default;
};

inline Resources operator+(Resources Left, const Resources &Right) {
  return Left += Right;
}

inline Resources operator-(Resources Left, const Resources &Right) {
  return Left -= Right;
}

inline Resources operator*(Resources Amount, int64_t Count) {
  Amount.MilliCores *= Count;
  Amount.MemoryMb *= Count;
  Amount.Accelerators *= Count;
  return Amount;
}

/// Mebibytes per gibibyte.
constexpr int64_t MegabytesPerGigabyte = 1024;

} // namespace whintack

#endif // WHINTACK_DECLARATION_RESOURCES_H
