/**
What teams have used, and the floor below which no team falls, with as many teams as a deployment has.
*/
import {test} from 'tap';
import {TeamLedger} from '../../../source/decisions/fairness/team-ledger.js';
import {usageLevel} from '../../../source/decisions/fairness/usage-level.js';

const teamsOfDeployment = 13_000;
const maxAccounts = 16_384;

test('usage decays, so that a team does not pay for a burst long past', t => {
	const ledger = new TeamLedger();
	ledger.charge('harbour', 1000, 0);
	t.equal(ledger.usedBy('harbour', 0), 1000);
	t.ok(ledger.usedBy('harbour', 10_000) < 400);
	t.ok(ledger.usedBy('harbour', 60_000) < 3);
	t.end();
});

test('a refund takes no more than a team has used, so that it cannot earn capacity by requests that fail', t => {
	const ledger = new TeamLedger();
	ledger.charge('harbour', 10, 0);
	ledger.charge('harbour', -500, 0);
	ledger.charge('pier', 100, 0);
	t.equal(ledger.usedBy('harbour', 0), 0);
	t.equal(ledger.share(0) * ledger.teamCount, 100, 'the sum of all teams is not below what the others have used');
	t.end();
});

test('a team that waits for the first time counts as active, so that the only team so far is above its share', t => {
	const ledger = new TeamLedger();
	ledger.charge('large', 100, 0);
	t.equal(ledger.share(0), 100);
	t.equal(ledger.share(0, new Set(['large', 'small'])), 50);
	t.end();
});

test('accounts are bounded whatever the number of teams, and closed when they are not used, so that a day of teams does not fill the memory or lower the share', t => {
	const ledger = new TeamLedger();
	for (let team = 0; team < teamsOfDeployment; team++) {
		ledger.charge(`team-${team}`, 50, 0);
	}

	t.equal(ledger.teamCount, teamsOfDeployment);
	for (let team = 0; team < teamsOfDeployment; team++) {
		ledger.charge(`later-${team}`, 50, 1);
	}

	t.ok(ledger.teamCount <= maxAccounts, `${ledger.teamCount} accounts`);
	for (let entry = 0; entry < maxAccounts; entry++) {
		ledger.charge('harbour', 1, 120_000);
	}

	t.equal(ledger.teamCount, 1, 'two minutes later only the team that is active is left');
	t.end();
});

test('a team that is served far less often than all is below the floor; one with a single refusal is not, as that may be chance', t => {
	const ledger = new TeamLedger();
	for (let request = 0; request < 100; request++) {
		ledger.recordOutcome('large', request % 10 < 8, 0);
	}

	ledger.recordOutcome('small', false, 0);
	t.notOk(ledger.isBelowFloor('small', 0));
	for (let request = 0; request < 9; request++) {
		ledger.recordOutcome('starved', false, 0);
	}

	t.ok(ledger.isBelowFloor('starved', 0));
	t.notOk(ledger.isBelowFloor('large', 0));
	t.notOk(ledger.isBelowFloor('unknown', 0));
	t.end();
});

test('the level grows with usage beyond the share, and does not differ within the share', t => {
	t.equal(usageLevel(0, 0), 0, 'nothing was used by any team');
	t.equal(usageLevel(99, 100), 0);
	t.equal(usageLevel(100, 100), 0);
	t.equal(usageLevel(101, 100), 1);
	t.equal(usageLevel(300, 100), 4);
	t.equal(usageLevel(Number.POSITIVE_INFINITY, 100), usageLevel(1e9, 100), 'bounded');
	t.end();
});
