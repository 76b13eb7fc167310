/**
An engine in virtual time, with the attempt table of its sidecar.
*/
import type {AttemptTable} from '../source/decisions/attempts/attempt-table.js';
import type {EngineRole} from '../source/generated/messages.js';
import type {EngineModel} from '../stand-ins/engine-model.js';

/**
`changingUntil` is when a role change ends, `nextRole` the role that it brings.
*/
export type VirtualEngine = {
	readonly name: string;
	readonly zone: string;
	readonly model: EngineModel;
	readonly table: AttemptTable;
	dead: boolean;
	changingUntil: number;
	nextRole: EngineRole | undefined;
	reportedAt: number;
};
