"""The table in a system of real processes, with faults of the platform."""

from __future__ import annotations

from typing import Any
import unittest

import gevent

from burdockchute_testing import client
from burdockchute_testing.forwarder import Forwarder
from burdockchute_testing.harness import System
from burdockchute_testing.harness import wait_until


class TableProcessesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.system = System()
        self.addCleanup(self.system.close)
        self.slots = 0

    def add_agent(self, name: str) -> None:
        self.system.add_service(f'{name}-proofs', 'proofs')
        self.system.add_agent(name, f'{name}-proofs', services='proofs')

    def forward(self, process: str, port: str = 'port') -> Forwarder:
        forwarder = Forwarder(self.system[process].ports[port])
        self.addCleanup(forwarder.close)
        return forwarder

    def edit(self) -> int:
        """Edit a row and return the offset at which it was accepted."""
        self.slots += 1
        done = self.system.set_row('service', 'proofs', slots=self.slots)
        return int(done.out.split('accepted at offset ')[1].split(':')[0])

    def offset(self, name: str) -> int:
        status = self.system.status(name)
        if 'table' in status:
            return status['table']['offset']
        return status['table_offset']

    def wait_offset(self, offset: int, *names: str) -> None:
        for name in names:
            wait_until(
                lambda name=name: self.offset(name) >= offset,
                f'{name} reaches {offset}',
            )

    def table_status(self, name: str) -> dict[str, Any]:
        return self.system.status(name)['table']

    def test_outage_of_the_log_while_editing_and_starting(self):
        # The platform's log fails. Operators get the error that nothing was
        # saved, the current rows stay in force, and an entry that starts
        # during the outage gets them from the others before it accepts
        # requests.
        self.system.add_platform()
        self.system.add_entry('e1')
        self.system.add_entry('e2')
        offset = self.edit()
        self.wait_offset(offset, 'e1', 'e2')
        self.system.set_faults('log', outage=True)
        refused = self.system.table('set', 'service/proofs', 'slots=9')
        self.assertEqual(1, refused.status)
        self.assertIn('no table: the log said Unavailable', refused.err)
        self.system.add_entry('e3')
        self.assertFalse(self.system.ready('e3'))
        self.system.wait_ready('e3')
        status = self.table_status('e3')
        self.assertEqual((offset, 1), (status['offset'], status['rows']))
        self.assertNotEqual('up', status['log'])
        wait_until(
            lambda: self.table_status('e1')['age_s'] > 3,
            'the entry reports its rows as old',
        )
        self.system.set_faults('log')
        self.wait_offset(self.edit(), 'e1', 'e2', 'e3')

    def test_entry_is_paused_while_retention_passes_what_it_would_read(self):
        # An entry is paused for a long time. Meanwhile rows are edited, a
        # snapshot is written and the log expires the edits. When the entry
        # resumes, it must get the newest rows, and the agent that receives
        # its rows must never go back to older ones.
        self.system.add_platform()
        self.system.add_entry('e1')
        self.system.add_entry('e2')
        self.add_agent('a1')
        self.wait_offset(self.edit(), 'e1', 'e2', 'a1')
        self.system['e1'].pause()
        offset = [self.edit() for _number in range(3)][-1]
        self.wait_offset(offset, 'e2', 'a1')
        wait_until(
            lambda: self.table_status('e2')['snapshot_as_of'] >= 0,
            'a snapshot is written',
        )
        self.wait_offset(self.offset('e2'), 'a1')
        as_of = self.table_status('e2')['snapshot_as_of']
        trim = {'stream': 'table', 'before': as_of + 1}
        self.system.set_faults('log', trim=trim)
        self.system['e1'].resume()
        seen = []
        for _number in range(20):
            seen.append(self.offset('a1'))
        self.assertEqual(sorted(seen), seen)
        self.assertGreaterEqual(seen[0], offset)
        self.wait_offset(offset, 'e1')
        self.wait_offset(self.edit(), 'e1', 'e2', 'a1')
        self.assertEqual(1, self.table_status('e1')['rows'])
        # A snapshot advances the offset without changing a row. An agent that
        # isn't notified would request the complete table after each snapshot.
        self.assertNotIn('delta_refused', self.system['a1'].log())

    def test_region_is_cut_off_and_joined_again(self):
        # Region A first loses only the log, then the other region as well.
        # Its agent is connected only to the entry of its region. While the
        # regions are connected, rows come through the other entry; after that
        # the old rows stay in force and are reported as old, and never return
        # once the regions are connected again.
        self.system.add_platform()
        self.system.add_stand_in('instances-b', 'instance_list')
        log = self.forward('log')
        self.system.add_entry('e1', log_url=log.url)
        instances_b = self.system.url('instances-b')
        self.system.add_entry('e2', instances_url=instances_b)
        other = self.forward('e2', 'link_port')
        self.list_entry_at('e2', other.port)
        self.add_agent('a1')
        offset = self.edit()
        self.wait_offset(offset, 'e1', 'e2', 'a1')
        self.assertEqual(['e1'], self.system.status('a1')['entries'])

        log.cut()
        offset = self.edit()
        self.wait_offset(offset, 'e1', 'a1')

        other.cut()
        newer = self.edit()
        self.wait_offset(newer, 'e2')
        wait_until(
            lambda: self.system.status('a1')['table_age_s'] > 5,
            'the agent reports its rows as old',
        )
        # A snapshot may have advanced the offset, but not to the newer edit.
        self.assertLess(self.offset('a1'), newer)
        self.assertGreater(self.table_status('e1')['age_s'], 5)

        other.heal()
        self.wait_offset(newer, 'e1', 'a1')
        log.heal()
        self.wait_offset(self.edit(), 'e1', 'e2', 'a1')

    def list_entry_at(self, name: str, port: int) -> None:
        """List an entry of the other region at another port."""
        instance = {
            'name': name,
            'role': 'entry',
            'address': '127.0.0.1',
            'port': port,
            'zone': 'vienna-1',
            'region': 'vienna',
            'pool': 'main',
            'state': 'live',
        }
        client.post(f'{self.system.url("instances")}/instances', instance)

    def test_two_operators_at_once_on_a_log_that_loses_replies(self):
        # Operators save the same row at the same time while half of the log's
        # replies are lost. Exactly one of them gets a confirmation, the others
        # see the existing row, and all processes hold that row.
        self.system.add_platform()
        self.system.add_entry('e1')
        self.system.add_entry('e2')
        self.wait_offset(self.edit(), 'e1', 'e2')
        exported = self.system.table('export').out
        self.system.set_faults('log', lose_replies=0.5, seed=3)
        done = self.import_at_once(exported, ('11', '12', '13', '14'))
        self.system.set_faults('log')
        saved = [slots for slots, status in done.items() if status == 0]
        self.assertEqual(1, len(saved), done)
        self.wait_offset(self.edit_other(), 'e1', 'e2')
        listed = self.system.table('list', '--kind', 'service').out
        self.assertIn(f'slots={saved[0]}', listed)
        history = self.system.table('history', 'service/proofs').out
        self.assertEqual(2, history.count(': accepted\n'))

    def import_at_once(
        self, exported: str, choices: tuple[str, ...]
    ) -> dict[str, int]:
        """Import concurrently as several operators; return their statuses."""
        jobs = {}
        for slots in choices:
            path = self.system.folder / f'{slots}.csv'
            path.write_text(exported.replace(',yes,1,', f',yes,{slots},'))
            jobs[slots] = gevent.spawn(
                self.system.table, 'import', str(path), '--timeout-s', '30'
            )
        gevent.joinall(list(jobs.values()))
        return {slots: job.get().status for slots, job in jobs.items()}

    def edit_other(self) -> int:
        done = self.system.set_row('service', 'dispatch', slots=1)
        return int(done.out.split('accepted at offset ')[1].split(':')[0])
