#!/usr/bin/env python3
"""Draws days of disruptions by kind, plays each on one or more checkouts, and tabulates kinds against broken rules.

    draw_days.py SITE --program NAME=CHECKOUT [--program NAME=CHECKOUT ...] [--first N] [--days N] [--seed N]
                 [--kind NAME] [--jobs N] [--until HH:MM] [--bench PATH] [--output DIR]
    draw_days.py --table DIR

The days come in turns of three: one kind of disruption alone, a pair, and a pair with a change of controller. Keys
move in each. The same seed and number draw the same day. DIR keeps the drawn files, results.csv with a line for each
play, and broken/ with the output of each play that broke a rule. Checkouts have to be built (`fleetbench build`).
"""
import argparse
import collections
import csv
import datetime
import glob
import json
import os
import queue
import random
import re
import subprocess
import sys
import threading

LATEST_START_S = 24.0

# Disruptions that may lead to two owners: kind, and values of `how` with the ranges of the other fields.
DISRUPTIONS = {
    'late grants': ('applied_late', ['grants'], {'x': (0.2, 0.8), 'for_s': (4, 14), 'share': (0.4, 1.0)}),
    'late orders': ('applied_late', ['orders', 'all'], {'x': (0.2, 0.8), 'for_s': (4, 14), 'share': (0.4, 1.0)}),
    'restored store': ('platform_down', ['restored'], {'x': (2, 10), 'for_s': (0.5, 4)}),
    'store refuses some': ('platform_down', ['nodes many revoke meet drain', 'nodes revoke', 'nodes leader reset',
                                             'nodes meet', 'nodes busy leader', 'nodes'],
                           {'share': (0.2, 0.6), 'for_s': (3, 10)}),
    'store down': ('platform_down', ['silent lapse', 'busy lapse', 'reset', 'silent'], {'for_s': (2, 9)}),
    'store slow': ('platform_slow', [''], {'x': (20, 90), 'for_s': (3, 8)}),
    'late writes': ('platform_lost', ['late', ''], {'x': (0.2, 0.6), 'for_s': (3, 10)}),
    'history lost': ('platform_compact', ['drain', ''], {'x': (2, 7), 'for_s': (4, 12)}),
    'cut targets': ('srv_cut', ['', 'fronts', 'some', 'some lossy', 'one_way', 'reset', 'reborn', 'some reborn'],
                    {'share': (0.15, 0.4), 'x': (0.2, 0.6), 'for_s': (3, 12)}),
    'cut instances': ('node_cut', ['', 'all', 'servers', 'servers reborn'], {'share': (0.1, 0.3), 'for_s': (3, 9)}),
    'frozen instances': ('node_freeze', ['', 'leader', 'giver', 'renewed', 'leader race'],
                         {'share': (0.08, 0.25), 'for_s': (1.5, 6)}),
    'lost zone': ('zone_loss', [''], {'for_s': (3, 7)}),
    'cut zone': ('zone_cut', ['drop', 'reset', 'drop meet', 'refuse'], {'for_s': (3, 8)}),
    'crashed targets': ('srv_crash', ['', 'dark', 'gone'], {'share': (0.1, 0.3), 'for_s': (0.5, 6)}),
    'slow targets': ('srv_slow', [''], {'share': (0.1, 0.4), 'x': (3, 12), 'for_s': (4, 9)}),
    'reused addresses': ('replace_with_reuse', ['', 'drain', 'dark'], {'share': (0.1, 0.35)}),
    'cold return': ('cold_return', ['', 'dark'], {'for_s': (2, 6)}),
    'lost answers': ('answer_lost', ['', 'reset'], {'share': (0.3, 0.7), 'x': (0.05, 0.4), 'for_s': (3, 8)}),
    'second answers': ('garble', ['extra late', 'extra'], {'share': (0.3, 0.7), 'x': (0.02, 0.08), 'for_s': (3, 8)}),
    'clock steps': ('clock_step', ['ahead', 'back'], {'share': (0.2, 0.6), 'x': (800, 4000), 'for_s': (3, 9)}),
    'many killed': ('herd_kill', ['', 'power'], {'share': (0.3, 0.7), 'for_s': (1, 3)}),
    'rolling stop': ('roll_term', ['', 'busy', 'leader'], {'share': (0.3, 1.0), 'x': (1, 3), 'gap_s': (0.7, 2)}),
    'lossy links': ('lossy', [''], {'x': (0.02, 0.15), 'for_s': (3, 8)}),
}

# Changes of controller.
CHANGES = {
    'controller killed': ('node_kill', ['leader', 'giver', 'leader race drain', 'giver race', 'leader hard',
                                        'giver race drain', 'leader meet'], {'for_s': (0.5, 4)}),
    'controller cut': ('core_cut', ['leader', 'leader race', 'giver race', 'leader one_way', 'leader near',
                                    'leader lure', 'leader relieve', 'leader both', 'split', 'leader race drain'],
                       {'for_s': (2, 7)}),
    'controller frozen': ('node_freeze', ['leader', 'renewed', 'giver', 'leader race'], {'for_s': (1.3, 6)}),
}
SERIES = {'applied_late', 'roll_term'}  # Long enough to be drawn once.


def draw_entry(rng, table, name):
    kind, hows, fields = table[name]
    entry = {'at': round(rng.uniform(2.5, LATEST_START_S), 2), 'kind': kind}
    how = rng.choice(hows)
    if how:
        entry['how'] = how
    for field, (low, high) in fields.items():
        entry[field] = round(rng.uniform(low, high), 2)
    if table is CHANGES:
        entry.update(on='core', count=1)
        entry.pop('share', None)
    return entry


def draw_day(seed, number, kind=None):
    """Returns the names of the kinds and the day of this number, with `kind` in it if one is wanted."""
    rng = random.Random(f'{seed}/{number}')
    names = sorted(DISRUPTIONS)
    wanted = [names[(number // 3) % len(names)]] if number % 3 == 0 else rng.sample(names, 2)
    if kind and kind not in wanted:
        wanted = [kind] + wanted[:1]
    faults = [{'at': 2.0, 'kind': 'hot_key', 'share': round(rng.uniform(0.25, 0.55), 2),
               'count': rng.choice([40, 60, 100, 150, 200]), 'for_s': 28.0}]
    for name in wanted:
        times = 1 if DISRUPTIONS[name][0] in SERIES else rng.choice([1, 1, 2, 3])
        faults += [draw_entry(rng, DISRUPTIONS, name) for _ in range(times)]
    if number % 3 == 2:
        change = rng.choice(sorted(CHANGES))
        wanted = wanted + [change]
        faults += [draw_entry(rng, CHANGES, change) for _ in range(rng.choice([1, 2, 3]))]
    plan = []
    for kind in rng.sample(['release', 'scale_out', 'scale_in'], rng.choice([1, 2])):
        entry = {'at': round(rng.uniform(4, 20), 2), 'kind': kind, 'share': round(rng.uniform(0.1, 0.4), 2)}
        if kind == 'scale_in':
            entry['share'] = round(entry['share'] / 2, 2)
            entry.update({'how': 'spot', 'x': round(rng.uniform(0.5, 2.5), 2)} if rng.random() < 0.4 else {})
        else:
            entry.update(gap_s=round(rng.uniform(0.5, 2), 2))
        plan.append(entry)
    return wanted, {'name': f'drawn-{seed}-{number}', 'slot': 'own', 'seed': rng.randrange(1, 2**31),
                    'plan': sorted(plan, key=lambda each: each['at']),
                    'faults': sorted(faults, key=lambda each: each['at'])}


def to_toml(day):
    value = lambda each: json.dumps(each) if isinstance(each, str) else str(each)
    lines = [f'{key} = {value(day[key])}' for key in ('name', 'slot', 'seed')]
    for part in ('plan', 'faults'):
        lines.append(f'{part} = [')
        lines += ['  { ' + ', '.join(f'{k} = {value(v)}' for k, v in each.items()) + ' },' for each in day[part]]
        lines.append(']')
    return '\n'.join(lines) + '\n'


def play(bench, checkout, site, file, seed):
    """Plays a day. Returns the broken rules with their counts (nothing if the play has failed) and the output."""
    command = [bench, 'run', site, file, '--seed', str(seed), '--jobs', '1', '--why', 'trial: drawn day']
    done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, errors='replace')
    output = done.stdout + done.stderr
    snapshot = re.search(r'snapshot ([0-9a-f]{8})', output)
    entries = glob.glob(os.path.join(checkout, 'journal', f'*-{snapshot.group(1)}.json')) if snapshot else []
    if not entries:
        return None, output
    with open(entries[0]) as entry:
        days = json.load(entry)['days']
    return (days[0]['rules'] or {}, output) if days and not days[0].get('fault') else (None, output)


def table(directory):
    played = collections.Counter()
    broken = collections.defaultdict(collections.Counter)
    totals = collections.Counter()
    with open(os.path.join(directory, 'results.csv'), newline='') as file:
        for row in csv.DictReader(file):
            rules = json.loads(row['rules'])
            outcomes = ['not finished'] if rules is None else sorted(rules) or ['none']
            totals.update((row['program'], each) for each in outcomes)
            for kind in row['kinds'].split(' + '):
                played[kind, row['program']] += 1
                broken[kind, row['program']].update(each for each in outcomes if each != 'none')
    programs = sorted({program for _, program in played})
    print('| kind | ' + ' | '.join(f'{each}: days | rules broken' for each in programs) + ' |')
    print('| --- ' * (1 + 2 * len(programs)) + '|')
    for kind in sorted({kind for kind, _ in played}):
        cells = []
        for program in programs:
            rules = broken[kind, program]
            text = ', '.join(f'{rule} {count}' for rule, count in sorted(rules.items()))
            cells.append(f'{played[kind, program]} | {text or "none"}')
        print(f'| {kind} | ' + ' | '.join(cells) + ' |')
    for (program, outcome), count in sorted(totals.items()):
        print(f'{program}: {outcome}: {count} days')


def run(options):
    programs = [each.split('=', 1) for each in options.program]
    os.makedirs(os.path.join(options.output, 'broken'), exist_ok=True)
    work = queue.Queue()
    for number in range(options.first, options.first + options.days):
        kinds, day = draw_day(options.seed, number, options.kind)
        path = os.path.abspath(os.path.join(options.output, day['name'] + '.toml'))
        with open(path, 'w') as file:
            file.write(to_toml(day))
        for program, checkout in programs:
            work.put((number, kinds, day, path, program, checkout))
    results = os.path.join(options.output, 'results.csv')
    is_new = not os.path.exists(results)
    lock = threading.Lock()
    with open(results, 'a', newline='') as file:
        writer = csv.writer(file)
        if is_new:
            writer.writerow(['number', 'program', 'kinds', 'seed', 'rules'])

        def worker():
            while not options.until or datetime.datetime.now().strftime('%H:%M') < options.until:
                try:
                    number, kinds, day, path, program, checkout = work.get_nowait()
                except queue.Empty:
                    return
                rules, output = play(options.bench, checkout, options.site, path, day['seed'])
                with lock:
                    writer.writerow([number, program, ' + '.join(kinds), day['seed'], json.dumps(rules)])
                    file.flush()
                    if rules or rules is None:
                        name = os.path.join(options.output, 'broken', f'{day["name"]}-{program}.txt')
                        with open(name, 'w') as kept:
                            kept.write(output)
                        print(day['name'], program, ' + '.join(kinds), json.dumps(rules), flush=True)

        workers = [threading.Thread(target=worker) for _ in range(options.jobs)]
        for each in workers:
            each.start()
        for each in workers:
            each.join()
    table(options.output)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('site', nargs='?')
    parser.add_argument('--program', action='append', default=[], metavar='NAME=CHECKOUT')
    parser.add_argument('--first', type=int, default=0, help='number of the first day')
    parser.add_argument('--days', type=int, default=30)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--kind', choices=sorted(DISRUPTIONS), help='a kind that every day has')
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--until', help='begins no play after this time of day')
    parser.add_argument('--bench', default='../given/kit/more/system/bin/fleetbench')
    parser.add_argument('--output', default='out/drawn')
    parser.add_argument('--table', metavar='DIR', help='only prints the table of the plays in DIR')
    options = parser.parse_args()
    if options.table:
        table(options.table)
    elif options.site and options.program:
        options.bench = os.path.abspath(options.bench)
        options.site = os.path.abspath(options.site)
        run(options)
    else:
        parser.error('SITE and --program are needed')


if __name__ == '__main__':
    sys.exit(main())
