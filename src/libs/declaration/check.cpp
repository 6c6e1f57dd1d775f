#include "itemreader.h"

namespace whintack::declaration::Internal {

static void checkServices(const Declaration &Declared,
                          document::FieldReader &Root) {
  std::map<PoolName, ServiceName> ServicesByPool;
  for (const auto &[Name, Checked] : Declared.Services) {
    const auto [Existing, IsNew] =
        ServicesByPool.emplace(Checked.HostPool, Name);
    if (!IsNew)
      Root.error("services", "service '" + Name.text() + "' and service '" +
                                 Existing->second.text() +
                                 "' are carried by the same pool '" +
                                 Checked.HostPool.text() +
                                 "'; expected one service a pool");
    if (!Declared.Pools.contains(Checked.HostPool))
      Root.error("services", "service '" + Name.text() + "' names the pool '" +
                                 Checked.HostPool.text() +
                                 "', which is not declared");
  }
}

static void checkJobs(const Declaration &Declared,
                      document::FieldReader &Root) {
  for (const auto &[Name, Checked] : Declared.Jobs) {
    if (!Declared.Pools.contains(Checked.HostPool))
      Root.error("jobs", "job '" + Name.text() + "' names the pool '" +
                             Checked.HostPool.text() +
                             "', which is not declared");
    const auto Owner = Declared.Teams.find(Checked.Owner);
    if (Owner == Declared.Teams.end())
      Root.error("jobs", "job '" + Name.text() + "' names the team '" +
                             Checked.Owner.text() + "', which is not declared");
    else if (!Owner->second.Quota.covers(Checked.Size))
      Root.error("jobs", "one task of job '" + Name.text() +
                             "' is larger than the quota of team '" +
                             Checked.Owner.text() + "'");
  }
}

static void checkPreset(const Declaration &Declared, const Preset &Checked,
                        document::FieldReader &Root) {
  const std::string Name = "preset '" + Checked.Name.text() + "'";
  for (const auto &[Referenced, Count] : Checked.Vms)
    if (!Declared.Pools.contains(Referenced))
      Root.error("presets", Name + " names the pool '" + Referenced.text() +
                                "', which is not declared");
  for (const auto &[PoolKey, Item] : Declared.Pools)
    if (!Checked.Vms.contains(PoolKey))
      Root.error("presets", Name + " gives no number of VMs for the pool '" +
                                PoolKey.text() + "'");
}

void checkReferences(const Declaration &Declared, document::FieldReader &Root) {
  if (Declared.Pools.empty())
    Root.error("pools", "expected at least one pool");
  if (Declared.Presets.empty())
    Root.error("presets", "expected at least one preset");
  checkServices(Declared, Root);
  checkJobs(Declared, Root);
  for (const auto &[Name, Checked] : Declared.Presets)
    checkPreset(Declared, Checked, Root);
}

} // namespace whintack::declaration::Internal
