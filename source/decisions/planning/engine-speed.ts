/**
How fast an engine is in each role.
*/
import type {EngineRole} from '../../generated/messages.js';

/**
Tokens a second that one engine makes if it does only that kind of work.
*/
export type EngineSpeed = Readonly<Record<EngineRole, {readonly prefill: number; readonly decode: number}>>;
