#include "whintack/jobs/taskkey.h"

namespace whintack::jobs {

std::string StepKey::text() const {
  return this->Job.text() + "." + std::to_string(this->Occurrence) + "." +
         std::to_string(this->Index);
}

std::string TaskKey::text() const {
  return this->Step.text() + "." + std::to_string(this->Index);
}

} // namespace whintack::jobs
