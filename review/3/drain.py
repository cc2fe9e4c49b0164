"""Case 2: a list that has to be asked for, and an outage of discovery of some seconds (site lahore-runs)."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

from base import BROKEN, HELD, CannotRun, run, trouble  # noqa: E402
from platform_standins import Agent, Client, Gateway, Store, time_to_beat  # noqa: E402
from settings import lahore_runs  # noqa: E402

SEEDS = os.environ.get("SEEDS", "95 30 9").split()
SHARDS = 10
DRAINED = 2
OUTAGE_S = float(os.environ.get("OUTAGE_S", "8"))
#: From the last heartbeat of the watches, which come every 2 s, until discovery is down.
DOWN_AFTER_HEARTBEAT_S = 1.9
#: From the return of discovery until the stores begin to drain.
DRAIN_AFTER_RETURN_S = 0.1
#: A change counts as told at the latest this long after discovery had it and could be reached.
TOLD_WITHIN_S = 6.0
GRACE_S = 1.0
SOCKET_SLACK_S = 0.05


async def ask_steadily(gateway, shard, number, end, record, answers):
    """One client: a fetch of the shard's data every 200 ms, over a connection that it keeps."""
    client, loop = Client(gateway), asyncio.get_running_loop()
    next_at = loop.time() + 0.02 * shard
    while loop.time() < end[0]:
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        next_at += 0.2
        key = (shard << 32) + int(loop.time() * 1000) + 1
        request_id, status, _ = await client.ask(
            "fetch", False, 0x1000 * (number + 1) + shard, key, "partner", 1500, shard)
        answers[request_id] = (gateway.name, status)
        record(f"{gateway.name}: {request_id} fetch of shard {shard} answered {status}")


async def play(record, processes):
    loop = asyncio.get_running_loop()
    stores = [await Store(f"s-{shard:02}", shard, "lhr-dc1", 0.025).start() for shard in range(SHARDS)]
    agents, gateways, asking = [], [], []
    end, answers, senders = [loop.time() + 600], {}, {}
    for index, seed in enumerate(SEEDS):
        agent = await Agent(record, f"g{index}", stores).start()
        known = agent.list(True, stores)
        gateway = Gateway(processes, record, f"g{index}", agent, lahore_runs(len(SEEDS), index, SHARDS),
                          seed, known)
        agents.append(agent)
        gateways.append(await gateway.start())
    for number, gateway in enumerate(gateways):
        for shard in range(SHARDS):
            asking.append(asyncio.ensure_future(
                ask_steadily(gateway, shard, number, end, record, answers)))
    await asyncio.sleep(3)
    await asyncio.sleep(time_to_beat() + DOWN_AFTER_HEARTBEAT_S)
    if trouble():
        record("discovery is down")
        for agent in agents:
            agent.go_down()
    await asyncio.sleep(OUTAGE_S)
    record("discovery is back" if trouble() else "discovery was never down")
    for agent in agents:
        agent.return_()
    await asyncio.sleep(DRAIN_AFTER_RETURN_S)
    drained = stores[:DRAINED]
    for store in drained:
        store.state = "draining"
    had_at = loop.time()
    record(f"discovery has: {', '.join(store.uid for store in drained)} draining")
    for agent in agents:
        agent.change(drained)
    await asyncio.sleep(14)
    end[0] = loop.time()
    await asyncio.gather(*asking)
    return judge(record, agents, drained, had_at, answers)


def judge(record, agents, drained, had_at, answers):
    """Rule 3, as written: nothing new to a store later than the grace after it was told or counts as told."""
    if sum(status == 200 for _, status in answers.values()) < len(answers) / 2:
        raise CannotRun("most requests were not served: the case says nothing")
    broken = 0
    for agent in agents:
        for store in drained:
            told = min(agent.told.get(store.uid, had_at + TOLD_WITHIN_S), had_at + TOLD_WITHIN_S)
            last = told + GRACE_S + SOCKET_SLACK_S
            late = [at for at, _, request_id, _ in store.arrivals
                    if at > last and answers.get(request_id, ("",))[0] == agent.name]
            broken += len(late)
            until = f", the last {max(late) - last:.2f} s" if late else ""
            record(f"verdict {agent.name} {store.uid}: counts as told {told - had_at:.2f} s after discovery "
                   f"had it; {len(late)} requests came later than the grace{until}")
    record(f"verdict: {broken} requests to draining stores after the grace")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run(play, HERE))
