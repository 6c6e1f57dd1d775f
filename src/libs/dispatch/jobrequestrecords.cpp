#include "jobrequesthandler.h"

#include "storekeys.h"

namespace whintack::dispatch::Internal {

namespace status = http::status;

static constexpr Duration ReadRetryDelay = std::chrono::milliseconds(120);
/// Bounds the memory for jobs whose queue has changed its service.
static constexpr size_t MaxOtherServices = 10000;

void JobRequestHandler::readValue(const SharedJobRequest &Job,
                                  const std::string &Key,
                                  const TextCallback &Done) {
  this->Shared.Store.Range(
      Key, "", store::ReadKind::Current,
      onLoop<JobRequestHandler, store::StoreResult<store::StorePage>>(
          this->Shared.Loop, this->shared_from_this(),
          [Job, Key, Done](JobRequestHandler &Self,
                           store::StoreResult<store::StorePage> Answer) {
            if (Answer) {
              std::string Text;
              for (const store::StoreItem &Item : Answer.value().Items)
                if (Item.Key == Key)
                  Text = Item.Value;
              Done(std::move(Text));
              return;
            }
            const TimePoint Next =
                Self.Shared.now() + Self.Shared.jittered(ReadRetryDelay);
            if (Next >= Job->Deadline) {
              Done(failure(std::move(Answer).error()));
              return;
            }
            scheduleFor(Self.Shared.Loop, Self.shared_from_this(), Next,
                        [Job, Key, Done](JobRequestHandler &Owner) {
                          Owner.readValue(Job, Key, Done);
                        });
          }));
}

void JobRequestHandler::findRecord(const SharedJobRequest &Job,
                                   const std::function<void()> &Retry,
                                   const TextCallback &Done) {
  // The record comes first: nearly all jobs belong to their queue's service.
  this->readValue(Job, keys::jobs(Job->Service) + Job->Id.text(),
                  [Self = this->shared_from_this(), Job, Retry,
                   Done](store::StoreResult<std::string> Record) {
                    if (Record && Record.value().empty())
                      Self->findService(Job, Retry, Done);
                    else
                      Done(std::move(Record));
                  });
}

void JobRequestHandler::findService(const SharedJobRequest &Job,
                                    const std::function<void()> &Retry,
                                    const TextCallback &Done) {
  this->readValue(Job, keys::jobService(Job->Id),
                  [Self = this->shared_from_this(), Job, Retry,
                   Done](store::StoreResult<std::string> Stored) {
                    if (!Stored || Stored.value().empty()) {
                      Done(std::move(Stored));
                      return;
                    }
                    if (Stored.value() == Job->Service.text()) {
                      Self->readNewRecord(Job, Done);
                      return;
                    }
                    Self->setService(Job, ServiceName(Stored.value()));
                    Retry();
                  });
}

/// Reads a record that was written after it had been found missing.
void JobRequestHandler::readNewRecord(const SharedJobRequest &Job,
                                      const TextCallback &Done) {
  this->readValue(
      Job, keys::jobs(Job->Service) + Job->Id.text(),
      [Done](store::StoreResult<std::string> Record) {
        if (Record && Record.value().empty())
          Done(failure(store::StoreError{store::StoreErrorCode::Ambiguous,
                                         "a service without a record"}));
        else
          Done(std::move(Record));
      });
}

void JobRequestHandler::setService(const SharedJobRequest &Job,
                                   const ServiceName &Service) {
  logEvent(LogLevel::Info, "job-in-other-service",
           {{"job", Job->Id},
            {"queue", Job->QueueName},
            {"asked", Job->Service},
            {"service", Service}});
  Job->Service = Service;
  if (this->OtherServices.size() >= MaxOtherServices)
    this->OtherServices.clear();
  this->OtherServices[Job->Id] = Service;
}

void JobRequestHandler::acceptFromOtherService(
    const SharedJobRequest &Job, const store::CommitAnswer &Answer) {
  const std::string Key = keys::jobs(Job->Service) + Job->Id.text();
  this->readValue(Job, Key,
                  [Self = this->shared_from_this(), Job,
                   Answer](const store::StoreResult<std::string> &Record) {
                    if (Record && !Record.value().empty()) {
                      Self->accept(Job, Answer, Record.value());
                      return;
                    }
                    Job->IsOutcomeUnknown = true;
                    Self->retryStoring(Job, Record
                                                ? "a service without a record"
                                                : Record.error().Message);
                  });
}

} // namespace whintack::dispatch::Internal
