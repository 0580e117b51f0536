#include "camphorsail/accounting/minute_marks.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "camphorsail/base/msgpack_unpack.h"

namespace camphorsail {
namespace {

constexpr uint32_t kSnapshotFormat = 1;

MinuteIndex Next(MinuteIndex minute) {
  return MinuteIndex(minute.value() + 1);
}

MinuteIndex Previous(MinuteIndex minute) {
  return MinuteIndex(minute.value() - 1);
}

/// Adds the range [first, last] to a set of disjoint ranges and merges adjacent
/// ranges.
void AddRange(std::map<MinuteIndex, MinuteIndex>* ranges,
              MinuteIndex first,
              MinuteIndex last) {
  auto it = ranges->upper_bound(first);
  if (it != ranges->begin()) {
    const auto before = std::prev(it);
    if (Next(before->second) >= first) {
      first = before->first;
      last = std::max(last, before->second);
      it = ranges->erase(before);
    }
  }
  while (it != ranges->end() && it->first <= Next(last)) {
    last = std::max(last, it->second);
    it = ranges->erase(it);
  }
  ranges->emplace(first, last);
}

}  // namespace

void MinuteMarks::OnRegistration(const VmRegistration& registration) {
  if (!registration.entry) {
    return;
  }
  const ProcessId id{registration.vm, registration.incarnation};
  if (registration.state != VmState::kActive) {
    const auto it = processes_.find(id);
    if (it != processes_.end()) {
      it->second.end = std::max(it->second.start, registration.minute);
    }
    return;
  }
  for (auto it = processes_.lower_bound({registration.vm, Incarnation()});
       it != processes_.end() && it->first < id; ++it) {
    if (!it->second.end) {
      it->second.end = std::max(it->second.start, registration.minute);
    }
  }
  const auto [it, inserted] = processes_.try_emplace(id);
  if (inserted) {
    it->second.start = registration.minute;
  } else {
    // The process was declared lost although it kept running. Its marks are
    // expected for the time in between as well.
    it->second.end.reset();
  }
  EnforceCapacity();
}

void MinuteMarks::EnforceCapacity() {
  while (processes_.size() > kMaxMarkedProcesses) {
    auto oldest = processes_.end();
    for (auto it = processes_.begin(); it != processes_.end(); ++it) {
      if (it->second.end && (oldest == processes_.end() ||
                             *it->second.end < *oldest->second.end)) {
        oldest = it;
      }
    }
    if (oldest == processes_.end()) {
      return;
    }
    complete_from_ = std::max(complete_from_, Next(*oldest->second.end));
    processes_.erase(oldest);
  }
}

Expected<void> MinuteMarks::Mark(const MinuteMark& mark, MinuteIndex latest) {
  const auto it = processes_.find({mark.vm, mark.incarnation});
  if (it == processes_.end()) {
    return Fail(ErrorKind::kProtocolError,
                absl::StrCat("minute mark of an unregistered process: VM ",
                             mark.vm.value(), ", incarnation ",
                             mark.incarnation.value()));
  }
  if (mark.first > mark.last || mark.last > latest) {
    return Fail(ErrorKind::kProtocolError,
                absl::StrCat("minute mark of VM ", mark.vm.value(), " from ",
                             mark.first.value(), " to ", mark.last.value(),
                             " must not be empty or end after minute ",
                             latest.value()));
  }
  const MinuteIndex first = std::max(mark.first, it->second.start);
  if (first <= mark.last) {
    AddRange(&it->second.marked, first, mark.last);
  }
  return {};
}

std::vector<MinuteBasis> MinuteMarks::Basis(MinuteIndex first,
                                            MinuteIndex last) const {
  struct Change {
    const ProcessId* process;
    bool mark;
    bool begins;
  };
  std::map<MinuteIndex, std::vector<Change>> changes;
  const auto add = [&](const ProcessId& process, bool mark, MinuteIndex from,
                       MinuteIndex to) {
    from = std::max(from, first);
    to = std::min(to, last);
    if (from <= to) {
      changes[from].push_back({&process, mark, true});
      changes[Next(to)].push_back({&process, mark, false});
    }
  };
  for (const auto& [id, process] : processes_) {
    const MinuteIndex end = process.end.value_or(last);
    add(id, false, process.start, end);
    for (const auto& [from, to] : process.marked) {
      add(id, true, from, std::min(to, end));
    }
  }
  std::vector<MinuteBasis> out;
  std::set<ProcessId> expected;
  std::set<ProcessId> marked;
  changes[first];
  for (auto it = changes.begin(); it != changes.end() && it->first <= last;
       ++it) {
    for (const Change& change : it->second) {
      auto& set = change.mark ? marked : expected;
      if (change.begins) {
        set.insert(*change.process);
      } else {
        set.erase(*change.process);
      }
    }
    MinuteBasis basis;
    basis.first = it->first;
    const auto next = std::next(it);
    basis.last = next == changes.end() ? last : Previous(next->first);
    basis.expected.assign(expected.begin(), expected.end());
    std::set_difference(expected.begin(), expected.end(), marked.begin(),
                        marked.end(), std::back_inserter(basis.missing));
    // Adjacent ranges with the same processes are merged, for example where one
    // mark ends and the next one begins.
    if (!out.empty() && out.back().expected == basis.expected &&
        out.back().missing == basis.missing) {
      out.back().last = basis.last;
    } else {
      out.push_back(std::move(basis));
    }
  }
  return out;
}

std::string MinuteMarks::Snapshot() const {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(3);
  packer.pack(kSnapshotFormat);
  packer.pack(complete_from_);
  packer.pack(processes_);
  return std::string(buffer.data(), buffer.size());
}

Expected<MinuteMarks> MinuteMarks::Restore(std::string_view bytes) {
  try {
    const msgpack::object_handle handle = UnpackBounded(bytes);
    const auto fields = handle.get().as<std::vector<msgpack::object>>();
    if (fields.size() != 3 || fields[0].as<uint32_t>() != kSnapshotFormat) {
      return Fail(ErrorKind::kDataCorrupt,
                  "minute marks snapshot: expected format 1 with 3 fields");
    }
    MinuteMarks marks;
    marks.complete_from_ = fields[1].as<MinuteIndex>();
    marks.processes_ = fields[2].as<std::map<ProcessId, Process>>();
    return marks;
  } catch (const std::exception& e) {
    return Fail(ErrorKind::kDataCorrupt,
                absl::StrCat("minute marks snapshot: ", e.what()));
  }
}

}  // namespace camphorsail
